package wheattrack.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheattrack.simulator.SimulatorProtocol.Field;

/**
 * Connects the policy to the operators' simulator: reads batches of events, passes each event to
 * its proxy and writes the messages that answer it. Not thread-safe.
 */
public final class SimulatorAdapter {
  private final JsonParser parser;
  private final JsonGenerator generator;
  private final EventFields event = new EventFields();
  private final Map<Long, SimulatedProxy> proxies = new HashMap<>();

  /** The lists of backend records that were received last, by their number. */
  private final List<?>[] recordLists = new List<?>[SimulatorProtocol.MAX_RECORD_LISTS];

  /**
   * Creates an adapter, which does not close the streams.
   *
   * @throws IOException if the input cannot be read
   */
  public SimulatorAdapter(InputStream input, OutputStream output) throws IOException {
    JsonFactory json = new JsonFactory();
    parser = json.createParser(input);
    generator = json.createGenerator(output);
    generator.setRootValueSeparator(new SerializedString(""));
  }

  /**
   * Handles batches until the input ends.
   *
   * @throws InvalidInputException if the input does not follow the wire format; the message names
   *     the line
   * @throws IOException if reading or writing fails
   */
  public void run() throws IOException {
    try {
      while (readBatchStart()) {
        runBatch(event.number(Field.TIME));
      }
    } catch (InvalidInputException e) {
      throw atLine(parser.currentLocation().getLineNr(), e.getMessage());
    } catch (JsonProcessingException e) {
      throw atLine(e.getLocation().getLineNr(), "malformed JSON: " + shortMessage(e));
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
    generator.flush();
  }

  private static InvalidInputException atLine(int line, String message) {
    return new InvalidInputException("line " + line + ": " + message);
  }

  /** The first line of the parser's message, without its advice to programmers in parentheses. */
  private static String shortMessage(JsonProcessingException malformed) {
    return malformed.getOriginalMessage().split("\n")[0].replaceAll("[ :]*\\(.*", "");
  }

  private void runBatch(long time) throws IOException {
    while (readEvent()) {
      String kind = event.text(Field.KIND);
      switch (kind) {
        case SimulatorProtocol.BATCH_START ->
            throw new InvalidInputException(
                "got " + kind + " before the " + SimulatorProtocol.BATCH_END + " of the batch");
        case SimulatorProtocol.BATCH_END -> {
          MessageWriter.writeBatchDone(generator);
          return;
        }
        case SimulatorProtocol.ENDPOINT_RECORDS ->
            recordLists[recordListNumber()] = event.records();
        default -> handleEvent(kind, time);
      }
    }
    throw new InvalidInputException("the input ends inside a batch");
  }

  private void handleEvent(String kind, long time) throws InvalidInputException {
    SimulatedProxy proxy = proxy(event.number(Field.PROXY_ID));
    proxy.setTime(time);
    if (kind.equals(SimulatorProtocol.ENDPOINT_LIST)) {
      String mode = event.text(Field.LIST_MODE);
      proxy.handleEndpointList(mode, recordsFor(mode));
    } else {
      proxy.handleEvent(kind, event);
    }
  }

  private SimulatedProxy proxy(long proxyId) {
    SimulatedProxy proxy = proxies.get(proxyId);
    if (proxy == null) {
      proxy = new SimulatedProxy(new MessageWriter(generator, proxyId));
      proxies.put(proxyId, proxy);
    }
    return proxy;
  }

  private List<?> recordsFor(String mode) throws InvalidInputException {
    if (mode.equals(SimulatorProtocol.LIST_FAILED)) {
      return List.of();
    }
    List<?> records = recordLists[recordListNumber()];
    if (records == null) {
      throw new InvalidInputException(
          Field.RECORD_LIST.wireName() + ": no records were sent under this number");
    }
    return records;
  }

  private int recordListNumber() throws InvalidInputException {
    long number = event.number(Field.RECORD_LIST);
    if (number < 0 || number >= SimulatorProtocol.MAX_RECORD_LISTS) {
      throw new InvalidInputException(
          Field.RECORD_LIST.wireName()
              + ": expected 0 to "
              + (SimulatorProtocol.MAX_RECORD_LISTS - 1)
              + ", got "
              + number);
    }
    return (int) number;
  }

  /** Reads the event that opens a batch; returns false at the end of the input. */
  private boolean readBatchStart() throws IOException {
    if (!readEvent()) {
      return false;
    }
    String kind = event.text(Field.KIND);
    if (!kind.equals(SimulatorProtocol.BATCH_START)) {
      throw new InvalidInputException(
          "expected " + SimulatorProtocol.BATCH_START + " at the start of a batch, got " + kind);
    }
    return true;
  }

  /** Reads one event; returns false at the end of the input. */
  private boolean readEvent() throws IOException {
    JsonToken token = parser.nextToken();
    if (token == null) {
      return false;
    }
    if (token != JsonToken.START_OBJECT) {
      throw new InvalidInputException("expected an event, that is, a JSON object");
    }
    event.read(parser);
    return true;
  }
}
