package wheattrack.net;

import static wheattrack.net.RawHttp.contentLength;
import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.send;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Backends that share one script: each request takes the next action from it, whichever backend
 * receives it. While the script is empty, requests are answered with {@link BackendAction#OK}.
 */
final class ScriptedBackends {
  private static final int SLOW_OK_MILLIS = 400;
  private static final int SLOW_ERROR_MILLIS = 200;
  private static final String EMPTY_BODY = "Content-Length: 0\r\n\r\n";

  private final BlockingQueue<BackendAction> script = new LinkedBlockingQueue<>();
  private final AtomicInteger requestsReceived;
  private final Queue<String> observations;

  /**
   * Creates backends without a script.
   *
   * @param requestsReceived counts the requests of all backends
   * @param observations receives "closed" for each connection to a backend that has ended
   */
  ScriptedBackends(AtomicInteger requestsReceived, Queue<String> observations) {
    this.requestsReceived = requestsReceived;
    this.observations = observations;
  }

  /** Appends actions to the script. */
  void enqueue(BackendAction... actions) {
    script.addAll(List.of(actions));
  }

  /** Removes the remaining actions from the script. */
  void clearScript() {
    script.clear();
  }

  /** Whether all actions of the script have been taken. */
  boolean isScriptOver() {
    return script.isEmpty();
  }

  /** Serves one connection of the backend with this name until the connection ends. */
  void serve(String name, Socket socket) throws Exception {
    InputStream input = new BufferedInputStream(socket.getInputStream());
    for (String head = readHead(input); head != null; head = readHead(input)) {
      input.readNBytes(contentLength(head));
      requestsReceived.incrementAndGet();
      BackendAction action = script.isEmpty() ? BackendAction.OK : script.take();
      answer(socket, name, head, action);
      if (action.closesConnection()) {
        socket.close();
      }
    }
    observations.add("closed");
  }

  private static void answer(Socket socket, String name, String head, BackendAction action)
      throws Exception {
    switch (action) {
      case OK -> sendOk(socket, name);
      case OK_CHUNKED ->
          send(
              socket,
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n"
                  + name
                  + "\r\n0\r\n\r\n");
      case ECHO -> sendEcho(socket, head);
      case SLOW_OK -> {
        Thread.sleep(SLOW_OK_MILLIS);
        sendOk(socket, "slow");
      }
      case SLOW_STATUS_500 -> {
        Thread.sleep(SLOW_ERROR_MILLIS);
        sendStatus(socket, "500 X");
      }
      case STATUS_404, STATUS_500, STATUS_503 -> sendStatus(socket, action + " X");
      case NOT_STARTED_503 -> sendStatus(socket, "503 Full\r\nNot-Started: 1");
      case NOT_STARTED_504 -> sendStatus(socket, "504 Late\r\nNot-Started: 1");
      case TRUNCATED_BODY -> send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
      case BODY_WITHOUT_LENGTH -> send(socket, "HTTP/1.1 200 OK\r\n\r\nwhole or not?");
      case NOT_HTTP -> send(socket, "SSH-2.0-OpenSSH\r\n\r\n");
      case CLOSE, NO_ANSWER -> {
        // no answer
      }
      default -> throw new IllegalArgumentException("unknown action " + action);
    }
  }

  private static void sendStatus(Socket socket, String statusAndHeaders) throws IOException {
    send(socket, "HTTP/1.1 " + statusAndHeaders + "\r\n" + EMPTY_BODY);
  }

  private static void sendOk(Socket socket, String body) throws IOException {
    send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Answers with the head of the request; its timeout, which varies between runs, is masked. */
  private static void sendEcho(Socket socket, String head) throws IOException {
    String body = head.strip().replaceAll("out: [0-9.]+", "out: T").replace("\r\n", "|");
    send(
        socket,
        "HTTP/1.1 200 OK\r\nX-Back: 3\r\nKeep-Alive: 9\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }
}
