package wheattrack.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.ProxyConfig;

/**
 * A training run for the class archive that the build makes: a start like a real one, whose JVM
 * records the classes that a start needs. Discovery and the backends are simulated. Without a list
 * and requests in it, a start with 60 backends took half as long again.
 */
public final class ClassArchiveTraining {
  private static final int BACKEND_COUNT = 8;
  private static final int REQUEST_COUNT = 32;
  private static final String REQUEST_BODY = "hi";
  private static final String RESPONSE_BODY = "ok";

  private ClassArchiveTraining() {}

  /**
   * Runs a proxy by the file's settings at a free port of this machine, and returns when it has
   * shut down.
   *
   * @throws IOException if a socket cannot be opened or breaks
   */
  public static void run(Path file) throws IOException {
    try (ServerSocket listener =
        new ServerSocket(0, REQUEST_COUNT, InetAddress.getLoopbackAddress())) {
      startDaemon(() -> acceptAll(listener));
      ProxyConfig config = ProxyConfig.readForTraining(file, listener.getLocalPort());
      ProxyServer proxy = new ProxyServer(config);
      startDaemon(proxy::run);
      call(proxy.port(), "GET /ready HTTP/1.0\r\n\r\n");
      List<String> classNames = PolicySettingsMapper.classNames(config.settings());
      for (int i = 0; i < REQUEST_COUNT; i++) {
        call(proxy.port(), request(classNames.get(i % classNames.size()), i));
      }
      proxy.shutdown();
    }
  }

  private static String request(String className, int number) {
    return "POST /"
        + className
        + " HTTP/1.1\r\nConnection: close\r\nRequest-Id: "
        + number
        + "\r\nWork-Hint: "
        + (1000 + 997 * number)
        + "\r\nContent-Length: "
        + REQUEST_BODY.length()
        + "\r\n\r\n"
        + REQUEST_BODY;
  }

  private static void startDaemon(Runnable work) {
    Thread thread = new Thread(work, "class-archive-training");
    thread.setDaemon(true);
    thread.start();
  }

  /** Sends a request, and reads until the proxy closes the connection. */
  private static void call(int port, String request) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      socket.getInputStream().readAllBytes();
    }
  }

  /** Serves discovery and the backends, until the listener is closed. */
  private static void acceptAll(ServerSocket listener) {
    try {
      while (true) {
        Socket socket = listener.accept();
        startDaemon(() -> answerAll(socket, listener.getLocalPort()));
      }
    } catch (IOException e) {
      return; // the training is over
    }
  }

  private static void answerAll(Socket socket, int backendPort) {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      for (String head = readHead(input); head != null; head = readHead(input)) {
        input.skipNBytes(head.startsWith("POST") ? REQUEST_BODY.length() : 0);
        String response =
            head.startsWith("GET /v1/endpoints")
                ? responseStart(endpointList(backendPort)) // a watch: its answer has no end
                : responseStart(RESPONSE_BODY) + "0\r\n\r\n";
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      return; // the proxy has closed the connection
    }
  }

  /** A response's head and its first chunk. */
  private static String responseStart(String body) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + Integer.toHexString(body.length())
        + "\r\n"
        + body
        + "\r\n";
  }

  /** The next request's head, or null at the end of the input. */
  private static String readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int c = input.read(); c >= 0; c = input.read()) {
      head.append((char) c);
      if (c == '\n' && head.indexOf("\r\n\r\n") >= 0) {
        return head.toString();
      }
    }
    return null;
  }

  private static String endpointList(int backendPort) {
    StringBuilder entries = new StringBuilder();
    for (int i = 0; i < BACKEND_COUNT; i++) {
      entries
          .append(i == 0 ? "" : ",")
          .append("{'uid':'s-")
          .append(i)
          .append("','endpoint':'127.0.0.1:")
          .append(backendPort)
          .append("','az':'a','model':'m','state':'SERVING','capacity_hint':1.5,")
          .append("'boot_ms':0}");
    }
    return ("{'rev':1,'all':true,'targets':[" + entries + "]}\n").replace('\'', '"');
  }
}
