package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages about bad input stay one line of bounded length, whatever the input is. */
class OneLineTextTest {
  private static final int MAX_MESSAGE_CHARACTERS = 300;

  private static String message(String effect, String shape) throws IOException {
    String json =
        """
        {"listen": "127.0.0.1:8000", "discovery": "127.0.0.1:8500", "shape": "%s",
         "settings": {"ruleSets": [
           {"name": "buy", "clientTimeout": 1200000, "effect": "%s"}]}}"""
            .formatted(shape, effect);
    return assertThrows(
            InvalidConfigurationException.class, () -> new ProxyConfig(Json.object(json)))
        .getMessage();
  }

  private static void assertShortLine(String message) {
    assertTrue(message.length() <= MAX_MESSAGE_CHARACTERS, message);
    assertEquals(1, message.lines().count(), message);
  }

  @ParameterizedTest
  @ValueSource(
      ints = {0, '\t', '\n', '\r', 0x1b, 0x1f, 0x7f, 0x80, 0x85, 0x9b, 0x9f, 0x2028, 0x2029})
  void controlCharactersAndLineBreaksAreReplaced(int codePoint) {
    String text = "a" + Character.toString(codePoint) + "b";
    assertEquals("a?b", OneLineText.of(text));
    assertEquals("'a?b'", OneLineText.quoted(text));
    assertEquals("k?: a?b", new InvalidConfigurationException("k\n", text).getMessage());
  }

  @ParameterizedTest
  @ValueSource(ints = {' ', '~', 0xa0, 0xe9, 0x2027, 0x202a, 0x1f33e})
  void otherCharactersStay(int codePoint) {
    String text = "a" + Character.toString(codePoint) + "b";
    assertEquals(text, OneLineText.of(text));
    assertEquals("'" + text + "'", OneLineText.quoted(text));
  }

  @ParameterizedTest
  @ValueSource(ints = {'x', 0x1f33e})
  void valuesOfMoreThan100CharactersAreCut(int codePoint) {
    String longest = Character.toString(codePoint).repeat(100);
    assertEquals("'" + longest + "'", OneLineText.quoted(longest));
    assertEquals("'" + longest + "…'", OneLineText.quoted(longest + "y"));
  }

  @Test
  void badConfigurationGivesOneShortLine() throws IOException {
    String badEffect = message("a\\nb", "pool");
    assertTrue(badEffect.endsWith(", got 'a?b'"), badEffect);
    assertShortLine(badEffect);
    String badShape = message("read_like", "s".repeat(5_000));
    assertTrue(badShape.endsWith("s…'"), badShape);
    assertShortLine(badShape);
  }
}
