package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Conversions between microseconds and ticks. */
class TimeConversionTest {
  @ParameterizedTest
  @CsvSource({"0,0,0", "1,0,1", "99,0,1", "100,1,1", "101,1,2", "-1,-1,0", "-100,-1,-1"})
  void ticksAreRoundedInTheNamedDirection(long micros, long roundedDown, long roundedUp) {
    assertEquals(roundedDown, TimeConversion.ticksRoundedDown(micros));
    assertEquals(roundedUp, TimeConversion.ticksRoundedUp(micros));
  }

  @Test
  void ticksBecomeMicros() {
    assertEquals(1_200, TimeConversion.toMicros(12));
  }

  @ParameterizedTest
  @CsvSource({"-5,0", "0,0", "1,1", "100,1", "101,2", "1000000000000,536870911"})
  void costHintIsRoundedUpAndBounded(long hintMicros, int cost) {
    assertEquals(cost, TimeConversion.costOfHint(hintMicros));
  }
}
