package wheattrack.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.Json;
import wheattrack.config.JsonObjectReader;
import wheattrack.net.discovery.EndpointListParser.Deleted;
import wheattrack.net.discovery.EndpointListParser.Listed;
import wheattrack.net.discovery.EndpointListParser.State;

/** Checks the parsing of discovery's events and of their entries. */
class EndpointListParserTest {
  private final EndpointListParser parser =
      new EndpointListParser(List.of("a", "b"), List.of("m", "n"));

  private static JsonObjectReader json(String text) throws IOException {
    return new JsonObjectReader(Json.object(text.replace('\'', '"')));
  }

  @Test
  void parsesAllFields() throws IOException {
    assertEquals(
        new Listed(
            "s-1f",
            State.DRAINING,
            "127.0.0.1:80",
            new InetSocketAddress("127.0.0.1", 80),
            15,
            1,
            1,
            4,
            2.5),
        parser.entry(
            json(
                "{'uid':'s-1f','state':'DRAINING','endpoint':'127.0.0.1:80','boot_ms':1.5,"
                    + "'az':'b','model':'n','pod_group':4,'capacity_hint':2.5}")));
  }

  @Test
  void missingFieldsHaveDefaults() throws IOException {
    assertEquals(
        new Listed(
            "s",
            State.SERVING,
            "127.0.0.1:80",
            new InetSocketAddress("127.0.0.1", 80),
            0,
            -1,
            0,
            0,
            1),
        parser.entry(json("{'uid':'s','state':'SERVING','endpoint':'127.0.0.1:80'}")));
  }

  @Test
  void deletedEntryNeedsOnlyItsId() throws IOException {
    assertEquals(new Deleted("s"), parser.entry(json("{'uid':'s','state':'DELETED'}")));
  }

  @Test
  void errorsNameTheKey() throws IOException {
    String[][] cases = {
      {"{'state':'SERVING'}", "uid: missing or empty"},
      {"{'uid':6,'state':'SERVING'}", "uid: expected a string, got a number"},
      {"{'uid':'s'}", "state: missing or empty"},
      {
        "{'uid':'s','state':'ASLEEP'}",
        "state: expected SERVING, DRAINING or DELETED, got ASLEEP for uid s"
      },
      {
        "{'uid':'s','state':'serving'}",
        "state: expected SERVING, DRAINING or DELETED, got serving for uid s"
      },
      {"{'uid':'s','state':'SERVING'}", "endpoint: missing or empty"},
    };
    for (String[] testCase : cases) {
      JsonObjectReader entry = json(testCase[0]);
      Exception error =
          assertThrows(InvalidConfigurationException.class, () -> parser.entry(entry));
      assertEquals(testCase[1], error.getMessage(), "message for " + testCase[0]);
    }
  }

  @Test
  void eventWithoutRevisionKeepsTheCurrentOne() throws IOException {
    EndpointListParser.Event event = EndpointListParser.event(json("{'targets':[{}]}"), 7);
    assertEquals(7, event.revision());
    assertEquals(false, event.isSnapshot());
    assertEquals(1, event.entries().size());
  }

  @Test
  void backendNumberIsTheHexadecimalSuffixOrAChecksum() {
    assertEquals(0x1f, EndpointListParser.backendNumber("s-1f"));
    assertEquals(0xabc, EndpointListParser.backendNumber("abc"));
    assertEquals(2367449418L, EndpointListParser.backendNumber("s2"));
  }
}
