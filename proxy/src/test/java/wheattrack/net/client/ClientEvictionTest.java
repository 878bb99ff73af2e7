package wheattrack.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheattrack.http.Request;
import wheattrack.net.protocol.ProtocolMapping;

/**
 * Tests which clients lose their connection while more are connected than allowed, or at a
 * shutdown.
 *
 * <p>Guards against new connections that are closed without a response to their first request,
 * beside many idle clients or clients with half a head. This comes about in three ways: a client
 * that is accepted above the limit is the only one that may be evicted, and is closed before its
 * request is received; of clients that have just connected, the first one is closed, although it
 * sends its request immediately; or a request is closed with its connection after the channel
 * group's thread has read it and before the loop's thread handles it. In the last case the client
 * reads the end of the stream some milliseconds after it wrote its request, whereas a request that
 * was not read ends in a reset; the log line "client closed unanswered" and the metric {@code
 * client_reads_dropped} report it.
 */
class ClientEvictionTest extends ClientListenerHarness {
  private static final int MAX_CLIENTS = 4;

  /** The time from a client's connecting until it sends its request, as on a busy machine. */
  private static final int CLIENT_DELAY_MILLIS = 30;

  /** A client that has sent nothing for this long after connecting counts as idle. */
  private static final int IDLE_MILLIS = 400;

  /** A client is accepted and served within this time, even after a failed accepting step. */
  private static final int ACCEPT_MILLIS = 1000;

  private static final String SERVED = "HTTP/1.1 200 OK";
  private static final String REQUEST = "GET /x HTTP/1.1\r\n\r\n";
  private static final Logger LOG = Logger.getLogger("wheattrack");

  ClientEvictionTest() {
    super(MAX_CLIENTS, new ImmediateResponder());
  }

  /** Responds to each request immediately. */
  private static final class ImmediateResponder implements ClientListener.RequestReceiver {
    @Override
    public void onRequest(ClientConnection client, Request request) {
      client.sendResponse(ProtocolMapping.textResponse(200, "ok", true));
    }

    @Override
    public void onRejected(Request request) {}
  }

  /** The first line of the response, "end" at the end of the stream, or "reset". */
  private static String readOutcome(Socket socket) throws IOException {
    try {
      StringBuilder line = new StringBuilder();
      for (int next = socket.getInputStream().read();
          next >= ' ';
          next = socket.getInputStream().read()) {
        line.append((char) next);
      }
      return line.length() == 0 ? "end" : line.toString();
    } catch (SocketException e) {
      return "reset";
    }
  }

  private void assertServedAfterDelay(Socket socket) throws Exception {
    Thread.sleep(CLIENT_DELAY_MILLIS);
    send(socket, REQUEST);
    assertEquals(SERVED, readOutcome(socket));
  }

  /** The limit is reached by silent clients, or by half heads; a further client is accepted. */
  @ParameterizedTest
  @ValueSource(strings = {"", "GET /"})
  void clientAcceptedAboveTheLimitIsServed(String startOfHead) throws Exception {
    for (int i = 0; i < MAX_CLIENTS; i++) {
      send(connect(), startOfHead);
    }
    Thread.sleep(ARRIVAL_MILLIS);
    assertServedAfterDelay(connect());
  }

  /** A client connects just before more silent clients than the limit. */
  @Test
  void clientIsNotEvictedForSilentClientsThatConnectAfterIt() throws Exception {
    Socket client = connect();
    for (int i = 0; i < 2 * MAX_CLIENTS; i++) {
      connect();
    }
    assertServedAfterDelay(client);
  }

  /**
   * A request is received during the step that closes idle connections: it gets a response, or it
   * is not read and the connection is reset.
   */
  @Test
  void requestIsNotReadByAConnectionThatIsClosed() throws Exception {
    Socket client = connect();
    Thread.sleep(IDLE_MILLIS);
    runOnLoop(
        () -> {
          try {
            send(client, REQUEST);
            Thread.sleep(ARRIVAL_MILLIS);
          } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
          }
          listener.closeIdleConnections();
        });
    String outcome = readOutcome(client);
    assertTrue(
        outcome.equals("reset") || outcome.equals(SERVED),
        "expected a reset or a response, got " + outcome);
    assertEquals(0, listener.counters().droppedReads(), "reads dropped by closed connections");
  }

  /**
   * A log handler that fails simulates any exception in the step that accepts a client. Guards
   * against such an exception stopping the accepting until the next connection closes, for up to
   * 2.4 s.
   */
  @Test
  void failedStepDoesNotStopAccepting() throws Exception {
    for (int i = 0; i < MAX_CLIENTS; i++) {
      connect();
    }
    Thread.sleep(IDLE_MILLIS);
    FailingHandler failure = new FailingHandler();
    Level levelBefore = LOG.getLevel();
    LOG.setLevel(Level.FINE);
    LOG.addHandler(failure);
    try {
      connect();
      Thread.sleep(ARRIVAL_MILLIS);
    } finally {
      LOG.removeHandler(failure);
      LOG.setLevel(levelBefore);
    }
    assertTrue(failure.hasFailed, "expected the step that accepts a client to fail");
    Socket client = connect();
    client.setSoTimeout(ACCEPT_MILLIS);
    assertServedAfterDelay(client);
  }

  /** Fails in the step that accepts a client. */
  private static final class FailingHandler extends Handler {
    private volatile boolean hasFailed;

    @Override
    public void publish(LogRecord entry) {
      if (entry.getLevel() == Level.FINE && entry.getMessage().startsWith("client to be evicted")) {
        hasFailed = true;
        throw new IllegalStateException("forced");
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
