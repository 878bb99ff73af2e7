package wheattrack.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes the messages of one proxy to the simulator, one per line. Times are in microseconds. Most
 * calls come from the policy, whose interfaces declare no I/O errors: a failed write is therefore
 * thrown as an {@link UncheckedIOException}. Not thread-safe.
 */
final class MessageWriter {
  /** Writes those fields of a message that follow its kind and its proxy id. */
  @FunctionalInterface
  private interface FieldWriter {
    void writeFields(JsonGenerator json) throws IOException;
  }

  private final JsonGenerator generator;
  private final long proxyId;

  MessageWriter(JsonGenerator generator, long proxyId) {
    this.generator = generator;
    this.proxyId = proxyId;
  }

  /** Writes the message that ends the answer to a batch, and flushes the output. */
  static void writeBatchDone(JsonGenerator generator) throws IOException {
    generator.writeStartObject();
    generator.writeStringField(SimulatorProtocol.KIND, SimulatorProtocol.BATCH_DONE);
    generator.writeEndObject();
    generator.writeRaw('\n');
    generator.flush();
  }

  /** Sends an attempt; a timeout of 0 lets it run until the request's deadline. */
  void writeSendAttempt(String requestId, long backendId, long timeout) {
    writeMessage(
        SimulatorProtocol.SEND_ATTEMPT,
        json -> {
          json.writeStringField(SimulatorProtocol.REQUEST_ID, requestId);
          json.writeNumberField(SimulatorProtocol.BACKEND, backendId);
          json.writeNumberField(SimulatorProtocol.ATTEMPT_TIMEOUT, timeout);
        });
  }

  /** Cancels an attempt in flight. */
  void writeCancelAttempt(String requestId, int attempt) {
    writeMessage(
        SimulatorProtocol.CANCEL_ATTEMPT,
        json -> {
          json.writeStringField(SimulatorProtocol.REQUEST_ID, requestId);
          json.writeNumberField(SimulatorProtocol.ATTEMPT, attempt);
        });
  }

  /** Rejects a request; with a {@code retryAfter} of 0, the client is advised no wait. */
  void writeReject(String requestId, long retryAfter) {
    writeMessage(
        SimulatorProtocol.REJECT,
        json -> {
          json.writeStringField(SimulatorProtocol.REQUEST_ID, requestId);
          json.writeNumberField(SimulatorProtocol.RETRY_AFTER, retryAfter);
        });
  }

  /** Fails a request. */
  void writeFail(String requestId) {
    writeMessage(
        SimulatorProtocol.FAIL,
        json -> json.writeStringField(SimulatorProtocol.REQUEST_ID, requestId));
  }

  /** Asks a backend for its load. */
  void writeProbeLoad(long backendId) {
    writeBackendMessage(SimulatorProtocol.PROBE_LOAD, backendId);
  }

  /** Closes the idle connections to a backend. */
  void writeCloseIdleConnections(long backendId) {
    writeBackendMessage(SimulatorProtocol.CLOSE_IDLE_CONNECTIONS, backendId);
  }

  /** Schedules a timer, whose expiry the simulator sends as an event. */
  void writeSchedule(long delay, long timerId) {
    writeMessage(
        SimulatorProtocol.SCHEDULE,
        json -> {
          json.writeNumberField(SimulatorProtocol.TIMER_DELAY, delay);
          json.writeNumberField(SimulatorProtocol.TIMER_ID, timerId);
        });
  }

  /** Asks for the endpoint list and its changes. */
  void writeWatchEndpoints() {
    writeMessage(
        SimulatorProtocol.WATCH_ENDPOINTS,
        json -> json.writeBooleanField(SimulatorProtocol.WATCH_ON, true));
  }

  /** Writes a line of the log. */
  void writeLog(String text) {
    writeTextMessage(SimulatorProtocol.LOG, text);
  }

  /** Reports that an event could not be handled. */
  void writeInternalError(String text) {
    writeTextMessage(SimulatorProtocol.INTERNAL_ERROR, text);
  }

  private void writeBackendMessage(String kind, long backendId) {
    writeMessage(kind, json -> json.writeNumberField(SimulatorProtocol.BACKEND, backendId));
  }

  private void writeTextMessage(String kind, String text) {
    writeMessage(kind, json -> json.writeStringField(SimulatorProtocol.TEXT, text));
  }

  private void writeMessage(String kind, FieldWriter fieldWriter) {
    try {
      generator.writeStartObject();
      generator.writeStringField(SimulatorProtocol.KIND, kind);
      generator.writeNumberField(SimulatorProtocol.PROXY_ID, proxyId);
      fieldWriter.writeFields(generator);
      generator.writeEndObject();
      generator.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
