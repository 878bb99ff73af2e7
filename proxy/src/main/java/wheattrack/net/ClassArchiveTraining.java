package wheattrack.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.ProxyConfig;
import wheattrack.net.lease.IdLease;
import wheattrack.net.lease.IdLeaseFile;

/**
 * A training run for the class archive that the build creates: starts a proxy as in production,
 * while the JVM records the classes that the start loads. Discovery and the backends are simulated.
 * The run includes an endpoint list and requests: with an archive trained without them, a start
 * with 60 backends took 1.5 times as long.
 */
public final class ClassArchiveTraining {
  private static final int BACKEND_COUNT = 8;
  private static final int REQUEST_COUNT = 32;
  private static final long LEASE_MILLIS = 1000;

  /** Cost hint of the first request, in microseconds. */
  private static final int FIRST_HINT = 1000;

  /** Difference between the cost hints of successive requests, in microseconds. */
  private static final int HINT_STEP = 997;

  private static final String REQUEST_BODY = "hi";
  private static final String RESPONSE_BODY = "ok";

  private ClassArchiveTraining() {}

  /**
   * Runs a proxy with the settings of a configuration file, at a free port of this machine, and
   * returns when it has shut down.
   *
   * @param file the configuration file
   * @throws IOException if a socket cannot be opened, read or written
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
    trainIdLeases();
  }

  /** A proxy at a port that the system chooses, as above, shares no ids. */
  private static void trainIdLeases() throws IOException {
    Path folder = Files.createTempDirectory("wheattrack-training");
    IdLease lease = IdLeaseFile.open(folder, "training").acquire(1, LEASE_MILLIS);
    lease.extend(2 * LEASE_MILLIS);
    lease.release();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  private static String request(String className, int number) {
    return "POST /"
        + className
        + " HTTP/1.1\r\nConnection: close\r\nRequest-Id: "
        + number
        + "\r\nWork-Hint: "
        + (FIRST_HINT + HINT_STEP * number)
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

  /** Acts as discovery and as the backends, until the listener is closed. */
  private static void acceptAll(ServerSocket listener) {
    try {
      while (true) {
        Socket socket = listener.accept();
        startDaemon(() -> answerAll(socket, listener.getLocalPort()));
      }
    } catch (IOException e) {
      return; // the listener was closed: the training has ended
    }
  }

  private static void answerAll(Socket socket, int backendPort) {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      for (String head = readHead(input); head != null; head = readHead(input)) {
        input.skipNBytes(head.startsWith("POST") ? REQUEST_BODY.length() : 0);
        String response =
            head.startsWith("GET /v1/endpoints")
                ? responseStart(endpointList(backendPort)) // the response to a watch does not end
                : responseStart(RESPONSE_BODY) + "0\r\n\r\n";
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      return; // the proxy has closed the connection
    }
  }

  /** The head and the first chunk of a response. */
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
