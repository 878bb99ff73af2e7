package wheattrack.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SimulatorAdapterTest {
  private static String drill(String in) throws IOException {
    var out = new ByteArrayOutputStream();
    new SimulatorAdapter(new ByteArrayInputStream(in.getBytes(StandardCharsets.UTF_8)), out).run();
    return out.toString(StandardCharsets.UTF_8);
  }

  /** Two instances, a sheet used again within a batch, a restart, and what is no longer held. */
  @Test
  void speaksTheWire() throws IOException {
    Path here = Path.of("src/test/resources/traces");
    String printed = drill(Files.readString(here.resolve("wire-in.txt")));
    Files.createDirectories(Path.of("target/traces"));
    Files.writeString(Path.of("target/traces/wire-out.txt"), printed);
    assertEquals(Files.readString(here.resolve("wire-out.txt")), printed);
  }

  private static String fault(String in) {
    return assertThrows(SimulatorAdapter.BadInput.class, () -> drill(in)).getMessage();
  }

  @Test
  void badInput() {
    String turn = "{\"kind\":\"Turn\",\"simTime\":5}\n";
    StringBuilder s = new StringBuilder();
    for (String in :
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
      s.append(fault(in).replaceAll("oops.*", "oops")).append('\n');
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
        s.toString());
  }
}
