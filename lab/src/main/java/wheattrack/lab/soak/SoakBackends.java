package wheattrack.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** The backends and the discovery service of a soak run, with a thread for each connection. */
final class SoakBackends implements AutoCloseable {
  private static final int BACKEND_COUNT = 3;
  private static final int LISTEN_BACKLOG = 500;

  /** How long a backend takes to answer a request. */
  private static final int SERVICE_MILLIS = 4;

  /** Interval of the empty lines that are sent to a watch as heartbeats. */
  private static final int HEARTBEAT_MILLIS = 1000;

  private static final String WATCH_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final List<ServerSocket> listeners = new ArrayList<>();
  private final List<Socket> watches = new CopyOnWriteArrayList<>();
  private final ServerSocket discovery;

  /**
   * The times at which the attempts of each request were received completely, by {@link
   * System#nanoTime}; the key is the request's id.
   */
  private final Map<String, List<Long>> attempts = new ConcurrentHashMap<>();

  private volatile boolean isFirstHanging;
  private volatile boolean isFirstDraining;

  /** Listens at a free port for each backend and for the discovery service. */
  SoakBackends() throws IOException {
    for (int i = 0; i < BACKEND_COUNT; i++) {
      boolean isFirst = i == 0;
      listeners.add(listen(socket -> serve(socket, isFirst)));
    }
    discovery = listen(this::serveWatch);
  }

  private static ServerSocket listen(SoakThreads.SocketTask task) throws IOException {
    ServerSocket listener = new ServerSocket(0, LISTEN_BACKLOG, InetAddress.getLoopbackAddress());
    SoakThreads.start(
        () -> {
          while (!listener.isClosed()) {
            Socket socket = listener.accept();
            SoakThreads.start(() -> task.run(socket));
          }
        });
    return listener;
  }

  int discoveryPort() {
    return discovery.getLocalPort();
  }

  /** Makes the first backend leave all further requests unanswered. */
  void hangFirst() {
    isFirstHanging = true;
  }

  /** Lists the first backend as draining, and sends the list to each watch. */
  void drainFirst() {
    isFirstDraining = true;
    watches.removeIf(watch -> !sendList(watch));
  }

  /** Sends the endpoint list; returns whether the watch's connection was still open. */
  private boolean sendList(Socket watch) {
    try {
      sendChunk(watch, list() + "\n");
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * The times at which the attempts of each request were received, by {@link System#nanoTime}; the
   * key is the request's id. The map is filled while the backends run.
   */
  Map<String, List<Long>> attempts() {
    return attempts;
  }

  private void serve(Socket socket, boolean isFirst) throws Exception {
    try (socket) {
      HttpStream stream = new HttpStream(socket);
      for (HttpStream.Message request = stream.read(); request != null; request = stream.read()) {
        attempts
            .computeIfAbsent(request.header("Request-Id"), id -> new CopyOnWriteArrayList<>())
            .add(System.nanoTime());
        if (isFirst && isFirstHanging) {
          Thread.sleep(Long.MAX_VALUE);
        }
        Thread.sleep(SERVICE_MILLIS);
        stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      }
    }
  }

  private void serveWatch(Socket socket) throws Exception {
    try (socket) {
      if (new HttpStream(socket).read() == null) {
        return;
      }
      new HttpStream(socket).write(WATCH_HEAD);
      sendChunk(socket, list() + "\n");
      watches.add(socket);
      while (true) {
        Thread.sleep(HEARTBEAT_MILLIS);
        sendChunk(socket, "\n");
      }
    } finally {
      watches.remove(socket);
    }
  }

  private static synchronized void sendChunk(Socket socket, String text) throws IOException {
    new HttpStream(socket).write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private String list() {
    StringBuilder entries = new StringBuilder();
    for (int i = 0; i < BACKEND_COUNT; i++) {
      String state = i == 0 && isFirstDraining ? "DRAINING" : "SERVING";
      entries
          .append(i == 0 ? "" : ",")
          .append("{\"uid\":\"s-" + i + "\",\"endpoint\":\"127.0.0.1:")
          .append(listeners.get(i).getLocalPort())
          .append("\",\"az\":\"a\",\"state\":\"" + state + "\",\"boot_ms\":0}");
    }
    int revision = isFirstDraining ? 2 : 1;
    return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + entries + "]}";
  }

  @Override
  public void close() throws IOException {
    discovery.close();
    for (ServerSocket listener : listeners) {
      listener.close();
    }
  }
}
