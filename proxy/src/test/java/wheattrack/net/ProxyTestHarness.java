package wheattrack.net;

import static wheattrack.net.RawHttp.readAnswer;
import static wheattrack.net.RawHttp.send;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;
import wheattrack.testing.TraceRecorder;

/** One proxy on loopback sockets, with the clients, backends and discovery service of the test. */
abstract class ProxyTestHarness {
  /** Length of the accept queue of listeners. */
  static final int BACKLOG = 100;

  /** How many file descriptors a proxy may use unless a test needs another number. */
  static final int MAX_SOCKETS = 1024;

  /** The name of the logger to which the proxy writes its log. */
  static final String LOGGER_NAME = "wheattrack";

  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final int READ_TIMEOUT_MILLIS = 5000;

  final TraceRecorder recorder = new TraceRecorder();

  /** All listeners, which are closed at the end of the test. */
  final List<ServerSocket> listeners = new ArrayList<>();

  /**
   * What discovery and the backends have seen: the request target of each watch, and "closed" for
   * each connection to a backend that has ended.
   */
  final BlockingQueue<String> observations = new LinkedBlockingQueue<>();

  /** How many requests all backends together have received. */
  final AtomicInteger requestsReceived = new AtomicInteger();

  /** The backends that {@link #startBackend} starts; they share one script. */
  final ScriptedBackends backends = new ScriptedBackends(requestsReceived, observations);

  /** The discovery service of the proxy. */
  final EndpointListServer endpointList = new EndpointListServer(observations);

  /** The proxy under test, the port for its clients, and the thread that runs it. */
  ProxyServer server;

  int port;
  Thread serverThread;

  @BeforeAll
  static void silenceLog() {
    Logger.getLogger(LOGGER_NAME).setLevel(Level.SEVERE);
  }

  /** Serves one accepted connection. */
  interface ConnectionHandler {
    void handle(Socket socket) throws Exception;
  }

  /** Listens at a free port; each connection is handled in a thread of its own. */
  ServerSocket listen(ConnectionHandler handler) throws IOException {
    ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    listeners.add(listener);
    startThread(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            startThread(() -> handler.handle(socket));
          }
        });
    return listener;
  }

  /** The task of a thread of the test, which may throw any exception. */
  interface ThrowingRunnable {
    void run() throws Exception;
  }

  /** Starts a daemon thread; an exception ends it and is ignored. */
  static Thread startThread(ThrowingRunnable task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // the peer has closed its connection, or the test is over
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** An entry of the endpoint list, in JSON with single quotes. */
  static String endpoint(String id, String state, int port) {
    return "{'uid':'"
        + id
        + "','endpoint':'127.0.0.1:"
        + port
        + "','az':'a','state':'"
        + state
        + "'}";
  }

  /** Starts a backend of this name and returns its entry of the endpoint list. */
  String startBackend(String name) throws IOException {
    return endpoint(name, "SERVING", listen(socket -> backends.serve(name, socket)).getLocalPort());
  }

  /** Starts backends named s0, s1 and so on, and returns their entries of the endpoint list. */
  String[] startBackends(int count) throws IOException {
    String[] endpoints = new String[count];
    for (int i = 0; i < count; i++) {
      endpoints[i] = startBackend("s" + i);
    }
    return endpoints;
  }

  /** A line of the endpoint list: a snapshot of all entries, or changed entries. */
  static String listLine(int revision, boolean isSnapshot, String... endpoints) {
    return ("{'rev':"
            + revision
            + ",'all':"
            + isSnapshot
            + ",'targets':["
            + String.join(",", endpoints)
            + "]}")
        .replace('\'', '"');
  }

  /** Starts a proxy that watches {@link #endpointList}; returns once it is ready. */
  void startProxy(int maxSockets, String knownList) throws Exception {
    startProxy(config(listen(endpointList::serve).getLocalPort(), maxSockets, knownList), "");
  }

  /** Starts a proxy with this configuration; returns once it is ready. */
  void startProxy(String config, String loadHeader) throws Exception {
    run(new ProxyServer(new ProxyConfig(Json.object(config)), loadHeader));
    while (!call("GET /ready HTTP/1.1\r\n\r\n").startsWith("200")) {
      Thread.sleep(10);
    }
  }

  /** Runs this proxy as the one under test, and does not wait until it is ready. */
  void run(ProxyServer proxy) throws IOException {
    server = proxy;
    port = proxy.port();
    serverThread = startThread(proxy::run);
  }

  /** A configuration with {@link #MAX_SOCKETS} descriptors and no known endpoint list. */
  static String config(int listPort) {
    return config(listPort, MAX_SOCKETS, "{}");
  }

  /**
   * A configuration with the rule sets buy, mark and pay, one per effect.
   *
   * @param knownList the value of the key "known", which further keys may follow
   */
  static String config(int listPort, int maxSockets, String knownList) {
    String classSettings =
        "','clientTimeout':1500000,'responseTarget':1000000,'group':'all','window':5000000,"
            + "'effect':'";
    return ("{'listen':'127.0.0.1:0','discovery':'127.0.0.1:"
            + listPort
            + "','seed':'1','drain_ms':1000,"
            + "'limits':{'sockets':"
            + maxSockets
            + "},'known':"
            + knownList
            + ",'settings':{'balancers':2,'zones':['a'],"
            + "'limits':{'maxDispatches':3,'mayCancel':true,"
            + "'retryAfter':true,'maxRetryAfter':2000000,'dialTimeout':250000,'idleClose':30000000},"
            + "'rules':{'askEvery':1000000},'ruleSets':[{'name':'buy"
            + classSettings
            + "read_like'},{'name':'mark"
            + classSettings
            + "idempotency_key'},{'name':'pay"
            + classSettings
            + "non_idempotent'}]}}")
        .replace('\'', '"');
  }

  /** Starts a proxy whose endpoint list has the backends s0, s1 and so on. */
  void startProxyWithBackends(int backendCount) throws Exception {
    startProxyWithBackends(backendCount, "{}");
  }

  /** Starts the same proxy as {@link #startProxyWithBackends(int)}, with an admin address. */
  void startProxyWithAdmin(int backendCount) throws Exception {
    startProxyWithBackends(backendCount, "{},\"admin\":\"127.0.0.1:0\"");
  }

  private void startProxyWithBackends(int backendCount, String knownList) throws Exception {
    endpointList.send(listLine(1, true, startBackends(backendCount)));
    startProxy(MAX_SOCKETS, knownList);
  }

  @AfterEach
  void stopProxyAndListeners() throws Exception {
    endpointList.stop();
    if (server != null) {
      server.shutdown();
    }
    for (ServerSocket listener : listeners) {
      listener.close();
    }
  }

  /** Opens a client's connection to the proxy. */
  Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  /** Waits until a backend has received a request. */
  void awaitFirstRequest() throws InterruptedException {
    while (requestsReceived.get() == 0) {
      Thread.sleep(5);
    }
  }

  /**
   * Sends a request on a new connection, and returns its answer as in {@link RawHttp#readAnswer}.
   */
  String call(String text) throws IOException {
    try (Socket socket = connect()) {
      return call(socket, text);
    }
  }

  /** Sends a request on this connection, and returns its answer. */
  static String call(Socket socket, String text) throws IOException {
    send(socket, text);
    return readAnswer(socket);
  }

  /** Requests all metrics at this admin port. */
  static String readMetrics(int adminPort) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", adminPort)) {
      return call(socket, "GET /status/metrics HTTP/1.1\r\n\r\n");
    }
  }

  /** Requests one metric of the proxy by its name without "proxy."; needs an admin address. */
  int metric(String name) {
    try {
      return Math.toIntExact(metric(server.adminPort(), name));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Requests one metric, by its name without "proxy.", at this admin port. */
  static long metric(int adminPort, String name) throws IOException {
    String metrics = readMetrics(adminPort);
    return Long.parseLong(metrics.replaceAll("(?s).*proxy\\." + name + ":(\\d+).*", "$1"));
  }

  /** A port at which nothing listens. */
  static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return free.getLocalPort();
    }
  }

  /**
   * Prepares a proxy in a process of its own, with this test's classes.
   *
   * @param log receives its standard output and error
   * @param jvmOptions options of its JVM
   */
  static ProcessBuilder proxyProcess(Path config, Path log, String... jvmOptions) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of(jvmOptions));
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "wheattrack.Main"));
    command.addAll(List.of("serve", "--config", config.toString()));
    return new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
  }

  /** Records the log lines of this level and above in the trace until it is closed. */
  LogRecording recordLog(Level level) {
    return new LogRecording(recorder, level);
  }
}
