package wheattrack.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.lab.scenario.Fault;

/** Error messages about invalid scenario files. */
class ScenarioTest {
  private static void assertFails(String extraText, String message) {
    InvalidConfigurationException e =
        assertThrows(
            InvalidConfigurationException.class,
            () -> ScenarioTexts.smallScenario("replayable", extraText));
    assertEquals(message, e.getMessage());
  }

  /**
   * Each message is one line that names file, line and key. The common text takes the first 16
   * lines, so that the extra text begins at line 17.
   */
  @Test
  void messagesNameFileLineAndKey() {
    assertFails("[front]\nnotice = 3\n", "small.toml:18: front.notice: unknown key");
    assertFails(
        "[front]\nnotice-ms = -3\n",
        "small.toml:18: front.notice-ms: expected a number from 0.0 to 3600000.0, got -3.0");
    assertFails(
        "[[fault]]\nkind = \"hang\"\nat-s = 1\n[[fault]]\nkind = \"flood\"\n",
        "small.toml:21: fault[1].kind: expected one of "
            + Arrays.stream(Fault.Kind.values()).map(Fault.Kind::keyword).toList()
            + ", got 'flood'");
    assertFails(
        "[[fault]]\nkind = \"hang\"\nat-s = 6\n",
        "small.toml:19: fault[0].at-s: expected less than the run's 6.0 s, got 6.0");
    assertFails("[[fault]]\nat-s = 2\n", "small.toml:17: fault[0].kind: missing");
    assertFails(
        "[[fault]]\nkind = \"stop-proxy\"\nat-s = 2\n",
        "small.toml:18: fault[0].kind: expected a kind supported on the virtual clock, got 'stop-proxy'");
    assertFails(
        "[[fault]]\nkind = \"hang\"\nplace = 4\n",
        "small.toml:19: fault[0].place: expected a number from -1.0 to 3.0, got 4.0");
    assertFails(
        "[expect]\nservce = \">= 1\"\n",
        "small.toml:18: expect.servce: expected the name of a metric, got 'servce'");
    assertFails(
        "[expect]\nservice = \"about 1\"\n",
        "small.toml:18: expect.service: expected a sign (>=, <=, >, <, =) and a number, got 'about 1'");
    assertFails(
        "[list]\nentries-per-second = -1\n",
        "small.toml:18: list.entries-per-second: expected a number from 0.0 to 1.0E9, got -1.0");
    assertFails(
        "[[fault]]\nkind = \"crash\"\nzone = 1\n",
        "small.toml:19: fault[0].zone: expected a number from -1.0 to 0.0, got 1.0");
    assertFails(
        "[hints]\nshare = \"all\"\n",
        "small.toml:18: hints.share: expected a number, got a string");
    assertFails("[hints\n", "small.toml:17: not TOML: Newline not permitted here");
  }
}
