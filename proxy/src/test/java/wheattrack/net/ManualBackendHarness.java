package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.contentLength;
import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.requestId;
import static wheattrack.net.RawHttp.send;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;

/**
 * A harness whose backends do nothing by themselves: the test accepts, answers and closes each
 * connection explicitly.
 */
abstract class ManualBackendHarness extends ProxyTestHarness {
  /** The longest wait for a condition or for data on a socket, in milliseconds. */
  static final int TIMEOUT_MILLIS = 5000;

  /** A connection that is not accepted within this time shows that the accept queue is full. */
  private static final int QUEUE_FULL_TIMEOUT_MILLIS = 100;

  /** Ids of the requests that {@link #answerAll} has received completely, in order of arrival. */
  final List<String> receivedIds = Collections.synchronizedList(new ArrayList<>());

  private final List<Socket> queuedSockets = new ArrayList<>();
  private LoopPause loopPause;

  /**
   * Waits until a condition is met, and fails after {@link #TIMEOUT_MILLIS}.
   *
   * @param condition the condition in words, for the failure message
   */
  static void await(String condition, BooleanSupplier isMet) throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
    while (!isMet.getAsBoolean()) {
      assertTrue(
          System.nanoTime() < deadline, "not within " + TIMEOUT_MILLIS + " ms: " + condition);
      Thread.sleep(1);
    }
  }

  /** Listens at a free port; the test has to accept the connections. */
  ServerSocket listenWithoutAccepting(int backlog) throws IOException {
    ServerSocket listener = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    listener.setSoTimeout(TIMEOUT_MILLIS);
    listeners.add(listener);
    return listener;
  }

  /** Fills the accept queue, so that further connections are not opened until the test accepts. */
  void fillAcceptQueue(ServerSocket listener) throws IOException {
    while (true) {
      Socket filler = new Socket();
      queuedSockets.add(filler);
      try {
        filler.connect(
            new InetSocketAddress("127.0.0.1", listener.getLocalPort()), QUEUE_FULL_TIMEOUT_MILLIS);
      } catch (SocketTimeoutException full) {
        filler.close();
        return;
      }
    }
  }

  /** Accepts one connection. */
  static Socket accept(ServerSocket listener) throws IOException {
    Socket socket = listener.accept();
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  /**
   * Reads one complete request and returns its id, or its target if it has no id. Returns "end",
   * "nothing" or "reset" if the connection ended, timed out or was reset before.
   */
  static String readRequest(Socket socket) {
    try {
      InputStream input = socket.getInputStream();
      String head = readHead(input);
      if (head == null || input.readNBytes(contentLength(head)).length < contentLength(head)) {
        return "end";
      }
      return head.contains("Request-Id: ") ? requestId(head) : head.split(" ")[1];
    } catch (SocketTimeoutException e) {
      return "nothing";
    } catch (IOException e) {
      return "reset";
    }
  }

  /**
   * Sends a request, accepts the connection over which the proxy forwards it, and reads it there;
   * returns the backend's end of that connection.
   */
  static Socket sendAndAccept(Socket client, String request, ServerSocket listener)
      throws IOException {
    send(client, request);
    Socket socket = accept(listener);
    readRequest(socket);
    return socket;
  }

  /**
   * Writes an answer.
   *
   * @param headers further headers, each with its line break, or an empty text
   */
  static void writeAnswer(Socket socket, String status, String headers, String body)
      throws IOException {
    send(
        socket,
        "HTTP/1.1 "
            + status
            + " X\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  /** Accepts all connections, and answers all requests on them, from now on. */
  void answerAll(ServerSocket listener) {
    startThread(
        () -> {
          listener.setSoTimeout(0);
          while (true) {
            Socket socket = listener.accept();
            startThread(() -> answerAll(socket));
          }
        });
  }

  /** Answers all requests on this connection until it ends. */
  void answerAll(Socket socket) throws IOException {
    socket.setSoTimeout(0);
    for (String id = readRequest(socket);
        !id.equals("end") && !id.equals("reset");
        id = readRequest(socket)) {
      if (id.startsWith("/")) {
        writeAnswer(socket, "200", "", "{\"rif\":0,\"q\":0}");
      } else {
        receivedIds.add(id);
        writeAnswer(socket, "200", "", "played");
      }
    }
  }

  /** Sends requests until one is answered by {@link #answerAll}; others may be rejected before. */
  void callUntilAnswered() throws IOException {
    String answer = call(request("buy"));
    while (!answer.equals("200 played")) {
      answer = call(request("buy"));
    }
  }

  /** Asserts that {@link #answerAll} has not received this request completely. */
  void assertNotReceived(String request) {
    String id = requestId(request);
    assertFalse(
        receivedIds.contains(id), "request " + id + " was received, all received: " + receivedIds);
  }

  /** A configuration with an admin address, and with these entries in the endpoint list. */
  String configWithEndpoints(String... endpoints) throws IOException {
    endpointList.send(listLine(1, true, endpoints));
    return config(listen(endpointList::serve).getLocalPort())
        .replace("\"drain_ms\"", "\"admin\":\"127.0.0.1:0\",\"drain_ms\"");
  }

  /** Pauses the event loop at the next log line that contains this text, until it is released. */
  LoopPause pauseLoopAt(String text) {
    loopPause = new LoopPause(text);
    Logger logger = Logger.getLogger("wheattrack");
    logger.setLevel(Level.INFO);
    logger.setUseParentHandlers(false);
    logger.addHandler(loopPause);
    return loopPause;
  }

  @AfterEach
  void releasePause() throws IOException {
    if (loopPause != null) {
      loopPause.release();
      Logger logger = Logger.getLogger("wheattrack");
      logger.removeHandler(loopPause);
      logger.setUseParentHandlers(true);
      logger.setLevel(Level.SEVERE);
    }
    for (Socket queuedSocket : queuedSockets) {
      queuedSocket.close();
    }
  }

  /** A log handler that pauses the event loop, because the log is written on the loop's thread. */
  static final class LoopPause extends Handler {
    private final String text;
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    LoopPause(String text) {
      this.text = text;
    }

    /** Waits until the event loop is paused. */
    void awaitReached() throws InterruptedException {
      assertTrue(
          reached.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
          "not logged within " + TIMEOUT_MILLIS + " ms: " + text);
    }

    /** Lets the event loop continue. */
    void release() {
      released.countDown();
    }

    @Override
    public void publish(LogRecord entry) {
      if (entry.getMessage().contains(text) && reached.getCount() > 0) {
        reached.countDown();
        try {
          released.await(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }

    @Override
    public void flush() {
      // nothing is buffered
    }

    @Override
    public void close() {
      // nothing is open
    }
  }
}
