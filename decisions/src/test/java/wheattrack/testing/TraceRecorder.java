package wheattrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Collects lines of text and compares them with the expected trace kept under the test resources.
 */
public class TraceRecorder {
  private static final Path ACTUAL = Path.of("target", "traces");
  private static final Path EXPECTED = Path.of("src/test/resources/traces");

  /** All lines so far. */
  public final StringBuilder trace = new StringBuilder();

  /** While set, lines are dropped. */
  public boolean quiet;

  /** Appends one line, unless recording is switched off. */
  public void recordLine(String line) {
    if (!quiet) {
      trace.append(line).append('\n');
    }
  }

  /** Compares with the expected trace; the actual one is left in target/traces for inspection. */
  public void assertMatches(String name) throws IOException {
    Files.createDirectories(ACTUAL);
    Files.writeString(ACTUAL.resolve(name + ".txt"), trace);
    assertEquals(
        Files.readString(EXPECTED.resolve(name + ".txt")), trace.toString(), "trace " + name);
  }
}
