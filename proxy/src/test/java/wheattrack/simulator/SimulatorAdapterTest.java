package wheattrack.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The simulator's wire format: the output for a recorded input, the errors for malformed input. */
class SimulatorAdapterTest {
  private static final Path EXPECTED = Path.of("src/test/resources/traces");
  private static final String BATCH_START = "{\"kind\":\"Turn\",\"simTime\":5}\n";
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
   * The recorded input holds one proxy, endpoint lists of every mode, a record list that is
   * replaced within a batch, a timer and a request that are unknown, and an attempt that ends after
   * a shutdown.
   */
  @Test
  void recordedInputGivesRecordedOutput() throws IOException {
    String printed = run(Files.readString(EXPECTED.resolve("wire-in.txt")));
    Files.createDirectories(PRINTED);
    Files.writeString(PRINTED.resolve("wire-out.txt"), printed);
    assertEquals(Files.readString(EXPECTED.resolve("wire-out.txt")), printed);
  }

  static Stream<Arguments> malformedInputs() {
    return Stream.of(
        arguments("{\"kind\":\"End\"}\n", "line 1: expected Turn at the start of a batch, got End"),
        arguments(BATCH_START, "line 2: the input ends inside a batch"),
        arguments(BATCH_START + BATCH_START, "line 2: got Turn before the End of the batch"),
        arguments(
            BATCH_START + "{\"kind\":oops}\n", "line 2: malformed JSON: Unrecognized token 'oops"),
        arguments(
            BATCH_START + "{\"kind\":\"Arrival\",\"proxyId\":0}\n",
            "line 2: missing field profile"),
        arguments(
            BATCH_START + "{\"kind\":\"Nod\",\"proxyId\":0}\n", "line 2: unknown event kind Nod"),
        arguments(
            BATCH_START + "{\"kind\":\"PeersKnown\",\"proxyId\":0,\"mode\":\"D\",\"sheet\":3}\n",
            "line 2: sheet: no records were sent under this number"),
        arguments("[]\n", "line 1: expected an event, that is, a JSON object"));
  }

  @ParameterizedTest
  @MethodSource("malformedInputs")
  void errorNamesLineAndFault(String input, String message) {
    // the text after the token is the JSON parser's and may change with its version
    assertEquals(message, errorMessage(input).replaceAll("oops.*", "oops"));
  }
}
