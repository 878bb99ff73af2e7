package wheattrack.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import wheattrack.config.InvalidConfigurationException;

class ScenarioTest {
  private static void fails(String more, String said) {
    InvalidConfigurationException e =
        assertThrows(
            InvalidConfigurationException.class, () -> ScenarioTexts.small("replayable", more));
    assertEquals(said, e.getMessage());
  }

  /**
   * Each fault of a file is one line that names file, line and key; the first 16 lines are the
   * same.
   */
  @Test
  void namesFileLineAndKey() {
    fails("[front]\nnotice = 3\n", "small.toml:18: front.notice: unknown key");
    fails(
        "[front]\nnotice-ms = -3\n",
        "small.toml:18: front.notice-ms: -3.0 is not from 0.0 to 3600000.0");
    fails(
        "[[fault]]\nkind = \"hang\"\nat-s = 1\n[[fault]]\nkind = \"flood\"\n",
        "small.toml:21: fault[1].kind: 'flood' is none of "
            + java.util.Arrays.stream(wheattrack.lab.scenario.Fault.Kind.values())
                .map(k -> k.word())
                .toList());
    fails(
        "[[fault]]\nkind = \"hang\"\nat-s = 6\n",
        "small.toml:19: fault[0].at-s: 6.0 is past the end");
    fails("[[fault]]\nat-s = 2\n", "small.toml:17: fault[0].kind: missing");
    fails(
        "[[fault]]\nkind = \"stop-proxy\"\nat-s = 2\n",
        "small.toml:18: fault[0].kind: stop-proxy can't be played on the virtual clock");
    fails(
        "[[fault]]\nkind = \"hang\"\nplace = 4\n",
        "small.toml:19: fault[0].place: 4.0 is not from -1.0 to 3.0");
    fails("[expect]\nservce = \">= 1\"\n", "small.toml:18: expect.servce: unknown figure");
    fails(
        "[expect]\nservice = \"about 1\"\n",
        "small.toml:18: expect.service: not a sign (>=, <=, >, <, =) and a number");
    fails(
        "[list]\nentries-per-second = -1\n",
        "small.toml:18: list.entries-per-second: -1.0 is not from 0.0 to 1.0E9");
    fails(
        "[[fault]]\nkind = \"crash\"\nzone = 1\n",
        "small.toml:19: fault[0].zone: 1.0 is not from -1.0 to 0.0");
    fails("[hints]\nshare = \"all\"\n", "small.toml:18: hints.share: not a number");
    fails("[hints\n", "small.toml:17: not TOML: Newline not permitted here");
  }
}
