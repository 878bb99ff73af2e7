package wheattrack.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes the messages of one proxy to the simulator, one a line. Times are in microseconds. The
 * policy, through which most calls come, knows no I/O: errors of the output come as {@link
 * UncheckedIOException}.
 */
final class MessageWriter {
  private final JsonGenerator generator;
  private final long proxyId;

  MessageWriter(JsonGenerator generator, long proxyId) {
    this.generator = generator;
    this.proxyId = proxyId;
  }

  /** Ends the answer to a batch, and sends what was written. */
  static void writeBatchDone(JsonGenerator generator) throws IOException {
    generator.writeStartObject();
    generator.writeStringField(SimulatorProtocol.KIND, SimulatorProtocol.BATCH_DONE);
    generator.writeEndObject();
    generator.writeRaw('\n');
    generator.flush();
  }

  /** Sends an attempt; a timeout of 0 leaves it until the request's deadline. */
  void writeSendAttempt(String requestId, long backendId, long timeout) {
    startMessage(SimulatorProtocol.SEND_ATTEMPT, requestId);
    writeNumber(SimulatorProtocol.BACKEND, backendId);
    writeNumber(SimulatorProtocol.ATTEMPT_TIMEOUT, timeout);
    endMessage();
  }

  /** Cancels an attempt in flight. */
  void writeCancelAttempt(String requestId, int attempt) {
    startMessage(SimulatorProtocol.CANCEL_ATTEMPT, requestId);
    writeNumber(SimulatorProtocol.ATTEMPT, attempt);
    endMessage();
  }

  /** Rejects a request; a wait of 0 advises none. */
  void writeReject(String requestId, long retryAfter) {
    startMessage(SimulatorProtocol.REJECT, requestId);
    writeNumber(SimulatorProtocol.RETRY_AFTER, retryAfter);
    endMessage();
  }

  /** Fails a request. */
  void writeFail(String requestId) {
    startMessage(SimulatorProtocol.FAIL, requestId);
    endMessage();
  }

  /** Asks a backend for its load. */
  void writeProbeLoad(long backendId) {
    startMessage(SimulatorProtocol.PROBE_LOAD);
    writeNumber(SimulatorProtocol.BACKEND, backendId);
    endMessage();
  }

  /** Closes the idle connections to a backend. */
  void writeCloseIdleConnections(long backendId) {
    startMessage(SimulatorProtocol.CLOSE_IDLE_CONNECTIONS);
    writeNumber(SimulatorProtocol.BACKEND, backendId);
    endMessage();
  }

  /** Asks to be told of this timer after a delay. */
  void writeSchedule(long delay, long timerId) {
    startMessage(SimulatorProtocol.SCHEDULE);
    writeNumber(SimulatorProtocol.TIMER_DELAY, delay);
    writeNumber(SimulatorProtocol.TIMER_ID, timerId);
    endMessage();
  }

  /** Asks for the endpoint list and its changes. */
  void writeWatchEndpoints() {
    startMessage(SimulatorProtocol.WATCH_ENDPOINTS);
    writeFlag(SimulatorProtocol.WATCH_ON, true);
    endMessage();
  }

  /** Writes a line of the log. */
  void writeLog(String text) {
    startMessage(SimulatorProtocol.LOG);
    writeText(SimulatorProtocol.TEXT, text);
    endMessage();
  }

  /** Says that an event could not be handled. */
  void writeInternalError(String text) {
    startMessage(SimulatorProtocol.INTERNAL_ERROR);
    writeText(SimulatorProtocol.TEXT, text);
    endMessage();
  }

  private void startMessage(String kind, String requestId) {
    startMessage(kind);
    writeText(SimulatorProtocol.REQUEST_ID, requestId);
  }

  private void startMessage(String kind) {
    try {
      generator.writeStartObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    writeText(SimulatorProtocol.KIND, kind);
    writeNumber(SimulatorProtocol.PROXY_ID, proxyId);
  }

  private void endMessage() {
    try {
      generator.writeEndObject();
      generator.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void writeText(String field, String value) {
    try {
      generator.writeStringField(field, value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void writeNumber(String field, long value) {
    try {
      generator.writeNumberField(field, value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void writeFlag(String field, boolean value) {
    try {
      generator.writeBooleanField(field, value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
