package wheattrack.net.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks the bounds of the delays between calls that fail. */
class JitteredBackoffTest {
  private static final long SHORTEST = 2_500;
  private static final long LONGEST = 20_000;

  private final JitteredBackoff backoff = new JitteredBackoff(SHORTEST, LONGEST, 7);

  private void assertDelayWithin(long pause) {
    for (int i = 0; i < 100; i++) {
      long delay = backoff.nextDelay();
      assertTrue(
          delay >= pause / 2 && delay <= pause,
          "expected a delay from half of " + pause + " to " + pause + ", got " + delay);
    }
  }

  @Test
  void doublesUpToTheLongestPause() {
    for (long pause : new long[] {2_500, 5_000, 10_000, 20_000, 20_000}) {
      backoff.increase();
      assertDelayWithin(pause);
    }
  }

  @Test
  void restartsAtTheShortestPause() {
    backoff.increase();
    backoff.increase();
    backoff.useShortestPause();
    assertDelayWithin(SHORTEST);
    backoff.increase();
    assertDelayWithin(2 * SHORTEST);
  }

  @Test
  void resetSetsNoPause() {
    backoff.increase();
    backoff.increase();
    backoff.reset();
    assertEquals(0, backoff.nextDelay(), "delay after a reset");
    backoff.increase();
    assertDelayWithin(SHORTEST);
  }
}
