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

/** The simulator's wire: the output for a recorded input, and the errors for malformed input. */
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

  static Stream<Arguments> malformedInputs() {
    return Stream.of(
        arguments("{\"kind\":\"End\"}\n", "line 1: a batch opens with End"),
        arguments(BATCH_START, "line 2: the input ends inside a batch"),
        arguments(BATCH_START + BATCH_START, "line 2: a batch is not closed"),
        arguments(
            BATCH_START + "{\"kind\":oops}\n", "line 2: malformed JSON: Unrecognized token 'oops"),
        arguments(
            BATCH_START + "{\"kind\":\"Arrival\",\"proxyId\":0}\n",
            "line 2: missing field profile"),
        arguments(
            BATCH_START + "{\"kind\":\"Nod\",\"proxyId\":0}\n", "line 2: unknown event kind Nod"),
        arguments(
            BATCH_START + "{\"kind\":\"PeersKnown\",\"proxyId\":0,\"mode\":\"D\",\"sheet\":3}\n",
            "line 2: missing field sheet"),
        arguments("[]\n", "line 1: not an object"));
  }

  @ParameterizedTest
  @MethodSource("malformedInputs")
  void errorNamesLineAndFault(String input, String message) {
    // the JSON parser's own text after the token is not this project's
    assertEquals(message, errorMessage(input).replaceAll("oops.*", "oops"));
  }
}
