package wheattrack.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheattrack.config.InvalidConfigurationException;

/** The seed range of the lab's command line. */
class LabOptionsTest {
  private static LabOptions.SeedRange seeds(String text) throws Exception {
    return LabOptions.seedRange(LabOptions.parse(new String[] {"soak", "--seeds", text}));
  }

  @Test
  void seedRangeHasAFirstAndALast() throws Exception {
    assertEquals(new LabOptions.SeedRange(4, 17), seeds("4-17"));
    assertEquals(new LabOptions.SeedRange(9, 9), seeds("9-9"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "4", "17-4", "a-b", "1-2-3", "-1-2", "1-99999999999999999999"})
  void otherSeedRangesNameTheOption(String text) {
    InvalidConfigurationException error =
        assertThrows(InvalidConfigurationException.class, () -> seeds(text));
    assertTrue(error.getMessage().startsWith("--seeds: "), error.getMessage());
  }
}
