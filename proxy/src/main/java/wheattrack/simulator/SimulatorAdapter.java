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
 * Connects the policy to the operators' simulator: reads batches of events, hands each event to its
 * proxy and writes the messages that answer it.
 */
public final class SimulatorAdapter {
  private final JsonParser parser;
  private final JsonGenerator generator;
  private final MessageFields event = new MessageFields();
  private final Map<Long, SimulatedProxy> proxies = new HashMap<>();
  private final List<?>[] recordLists = new List<?>[SimulatorProtocol.MAX_RECORD_LISTS];

  /**
   * Creates an adapter; it does not close the streams.
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
   * Runs until the input ends.
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

  /** The parser's message without its advice to programmers, which is in parentheses. */
  private static String shortMessage(JsonProcessingException malformed) {
    return malformed.getOriginalMessage().split("\n")[0].replaceAll("[ :]*\\(.*", "");
  }

  private void runBatch(long time) throws IOException {
    while (readEvent()) {
      String kind = event.text(Field.KIND);
      switch (kind) {
        case SimulatorProtocol.BATCH_START ->
            throw new InvalidInputException("a batch is not closed");
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
      throw MessageFields.missing(Field.RECORD_LIST.wireName());
    }
    return records;
  }

  private int recordListNumber() throws InvalidInputException {
    long number = event.number(Field.RECORD_LIST);
    if (number < 0 || number >= SimulatorProtocol.MAX_RECORD_LISTS) {
      throw new InvalidInputException("no such sheet: " + number);
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
      throw new InvalidInputException("a batch opens with " + kind);
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
      throw new InvalidInputException("not an object");
    }
    event.read(parser);
    return true;
  }
}
