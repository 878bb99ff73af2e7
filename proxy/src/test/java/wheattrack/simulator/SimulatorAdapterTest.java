package wheattrack.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The simulator's wire: what is written for a recorded input, and what bad input is told. */
class SimulatorAdapterTest {
  private static final Path EXPECTED = Path.of("src/test/resources/traces");
  private static final Path PRINTED = Path.of("target/traces");

  private static String run(String input) throws IOException {
    InputStream bytes = new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8));
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    new SimulatorAdapter(bytes, output).run();
    return output.toString(StandardCharsets.UTF_8);
  }

  private static String errorMessage(String input) {
    return assertThrows(InvalidInputException.class, () -> run(input)).getMessage();
  }

  /**
   * Two proxies, a list of records used twice within a batch, a restart, and events about requests
   * that are finished.
   */
  @Test
  void recordedInputGivesRecordedOutput() throws IOException {
    String printed = run(Files.readString(EXPECTED.resolve("wire-in.txt")));
    Files.createDirectories(PRINTED);
    Files.writeString(PRINTED.resolve("wire-out.txt"), printed);
    assertEquals(Files.readString(EXPECTED.resolve("wire-out.txt")), printed);
  }

  @Test
  void badInputIsNamedWithItsLine() {
    String turn = "{\"kind\":\"Turn\",\"simTime\":5}\n";
    StringBuilder messages = new StringBuilder();
    for (String input :
        new String[] {
          "{\"kind\":\"End\"}\n",
          turn,
          turn + turn,
          turn + "{\"kind\":oops}\n",
          turn + "{\"kind\":\"Arrival\",\"proxyId\":0}\n",
          turn + "{\"kind\":\"Nod\",\"proxyId\":0}\n",
          turn + "{\"kind\":\"PeersKnown\",\"proxyId\":0,\"mode\":\"D\",\"sheet\":3}\n",
          "[]\n"
        }) {
      messages.append(errorMessage(input).replaceAll("oops.*", "oops")).append('\n');
    }
    assertEquals(
        """
        line 1: a batch opens with End
        line 2: the input ends inside a batch
        line 2: a batch is not closed
        line 2: malformed JSON: Unrecognized token 'oops
        line 2: missing field profile
        line 2: unknown event kind Nod
        line 2: missing field sheet
        line 1: not an object
        """,
        messages.toString());
  }
}
