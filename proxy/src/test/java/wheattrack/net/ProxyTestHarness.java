package wheattrack.net;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;
import wheattrack.testing.TraceRecorder;

/**
 * One proxy on loopback sockets between clients, an endpoint list and backends that the test plays.
 */
abstract class ProxyTestHarness {
  /** Length of the accept queue of listeners. */
  static final int BACKLOG = 100;

  private static final AtomicInteger LAST_REQUEST_ID = new AtomicInteger();
  private static final String LOGGER_NAME = "wheattrack";
  private static final String CONTENT_LENGTH = "content-length: ";
  private static final String EMPTY_BODY = "Content-Length: 0\r\n\r\n";

  /** Actions after which a backend closes its connection. */
  private static final List<String> CLOSING_ACTIONS =
      List.of("cut", "half", "unmeasured", "garbage");

  /** Marks a line of the list after a part of which the connection is closed. */
  private static final String HALF_LINE = "half ";

  final TraceRecorder recorder = new TraceRecorder();

  /** All that listens, closed at the end of the test. */
  final List<ServerSocket> listeners = new ArrayList<>();

  /** What the backends do with the next requests, whichever gets them. */
  final BlockingQueue<String> backendActions = new LinkedBlockingQueue<>();

  /** What the list was asked for, and "closed" for each connection that a backend saw close. */
  final BlockingQueue<String> observations = new LinkedBlockingQueue<>();

  /** How many requests the backends have received. */
  final AtomicInteger requestsReceived = new AtomicInteger();

  /**
   * Lines that the list sends to the latest watch. "end" closes its connection, and so does a line
   * after "half ", of which a part is sent before.
   */
  final BlockingQueue<String> listLines = new LinkedBlockingQueue<>();

  /** How many watches of the list there have been. */
  final AtomicInteger watchCount = new AtomicInteger();

  ProxyServer server;
  int port;
  Thread serverThread;
  private volatile boolean isTestOver;

  @BeforeAll
  static void silenceLog() {
    Logger.getLogger(LOGGER_NAME).setLevel(Level.SEVERE);
  }

  /** Plays the other end of one accepted connection. */
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

  /** What a thread of the test does. */
  interface ThrowingRunnable {
    void run() throws Exception;
  }

  /** Starts a daemon thread that ends at the first error. */
  static Thread startThread(ThrowingRunnable task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // the other side has gone, or the test is over
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Reads a head up to its empty line; null: the connection ended before. */
  static String readHead(InputStream input) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    for (int next = input.read(); next >= 0; next = input.read()) {
      head.write(next);
      if (head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        return head.toString(StandardCharsets.ISO_8859_1);
      }
    }
    return null;
  }

  /** The length of the body behind this head; 0 if it says none. */
  static int contentLength(String head) {
    int start = head.toLowerCase().indexOf(CONTENT_LENGTH);
    if (start < 0) {
      return 0;
    }
    int end = head.indexOf("\r\n", start);
    return Integer.parseInt(head.substring(start + CONTENT_LENGTH.length(), end));
  }

  /** The id of the request with this head. */
  static String requestId(String head) {
    return head.replaceAll("(?s).*Request-Id: (\\w+).*", "$1");
  }

  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Plays a backend: each request is answered by the next action, or with the backend's name. */
  void serveBackend(String name, Socket socket) throws Exception {
    InputStream input = new BufferedInputStream(socket.getInputStream());
    for (String head = readHead(input); head != null; head = readHead(input)) {
      input.readNBytes(contentLength(head));
      requestsReceived.incrementAndGet();
      String action = backendActions.isEmpty() ? "ok" : backendActions.take();
      answerRequest(socket, name, head, action);
      if (CLOSING_ACTIONS.contains(action)) {
        socket.close();
      }
    }
    observations.add("closed");
  }

  private static void answerRequest(Socket socket, String name, String head, String action)
      throws Exception {
    switch (action) {
      case "ok" -> sendOk(socket, name);
      case "chunks" ->
          send(
              socket,
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n"
                  + name
                  + "\r\n0\r\n\r\n");
      case "echo" -> sendEcho(socket, head);
      case "slow" -> {
        Thread.sleep(400);
        sendOk(socket, "slow");
      }
      case "slow 500" -> {
        Thread.sleep(200);
        send(socket, "HTTP/1.1 500 X\r\n" + EMPTY_BODY);
      }
      case "full" -> send(socket, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\n" + EMPTY_BODY);
      case "late" -> send(socket, "HTTP/1.1 504 Late\r\nNot-Started: 1\r\n" + EMPTY_BODY);
      case "half" -> send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
      case "unmeasured" -> send(socket, "HTTP/1.1 200 OK\r\n\r\nwhole or not?");
      case "garbage" -> send(socket, "SSH-2.0-OpenSSH\r\n\r\n");
      case "cut", "none" -> {
        // no answer
      }
      default -> send(socket, "HTTP/1.1 " + action + " X\r\n" + EMPTY_BODY);
    }
  }

  private static void sendOk(Socket socket, String body) throws IOException {
    send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Answers with the head of the request, without the times that differ from run to run. */
  private static void sendEcho(Socket socket, String head) throws IOException {
    String body = head.strip().replaceAll("out: [0-9.]+", "out: T").replace("\r\n", "|");
    send(
        socket,
        "HTTP/1.1 200 OK\r\nX-Back: 3\r\nKeep-Alive: 9\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  /** Plays the endpoint list for one watch, until there is a later one. */
  void serveEndpointList(Socket socket) throws Exception {
    InputStream input = new BufferedInputStream(socket.getInputStream());
    observations.add(readHead(input).split(" ")[1]);
    int watchNumber = watchCount.incrementAndGet();
    send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (!isTestOver && watchNumber == watchCount.get()) {
      String line = listLines.poll(5, TimeUnit.MILLISECONDS);
      if (line == null) {
        continue;
      }
      if (line.equals("end")) {
        socket.close();
        return;
      }
      if (line.startsWith(HALF_LINE)) {
        String part = line.substring(HALF_LINE.length(), 40);
        send(socket, Integer.toHexString(line.length()) + "\r\n" + part);
        socket.close();
        return;
      }
      sendChunk(socket, line + "\n");
    }
  }

  /** Sends one chunk of a chunked body. */
  static void sendChunk(Socket socket, String text) throws IOException {
    send(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  /** An entry of the list; its quotes are still single ones. */
  static String endpoint(String id, String state, int port) {
    return "{'uid':'"
        + id
        + "','endpoint':'127.0.0.1:"
        + port
        + "','az':'a','state':'"
        + state
        + "'}";
  }

  /** Starts a backend of this name and returns its entry of the list. */
  String startBackend(String name) throws IOException {
    return endpoint(name, "SERVING", listen(socket -> serveBackend(name, socket)).getLocalPort());
  }

  /** Starts that many backends, named s0, s1 and so on, and returns their entries of the list. */
  String[] startBackends(int count) throws IOException {
    String[] endpoints = new String[count];
    for (int i = 0; i < count; i++) {
      endpoints[i] = startBackend("s" + i);
    }
    return endpoints;
  }

  /** A line of the list: a snapshot or changes. */
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

  /** Starts a proxy that watches {@link #serveEndpointList}; returns once it is ready. */
  void startProxy(int maxSockets, String knownList) throws Exception {
    startProxy(config(listen(this::serveEndpointList).getLocalPort(), maxSockets, knownList), "");
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

  /** A configuration; further keys may follow the known list. */
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

  /** Starts a proxy with backends s0, s1 and so on on its list. */
  void startProxyWithBackends(int backendCount) throws Exception {
    startProxyWithBackends(backendCount, "{}");
  }

  /** The same with an admin address. */
  void startProxyWithAdmin(int backendCount) throws Exception {
    startProxyWithBackends(backendCount, "{},\"admin\":\"127.0.0.1:0\"");
  }

  private void startProxyWithBackends(int backendCount, String knownList) throws Exception {
    listLines.add(listLine(1, true, startBackends(backendCount)));
    startProxy(1024, knownList);
  }

  @AfterEach
  void stopProxyAndListeners() throws Exception {
    isTestOver = true;
    if (server != null) {
      server.shutdown();
    }
    for (ServerSocket listener : listeners) {
      listener.close();
    }
  }

  /** A client's connection to the proxy. */
  Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
    socket.setSoTimeout(5000);
    return socket;
  }

  /** Waits until a first request has reached a backend. */
  void awaitFirstRequest() throws InterruptedException {
    while (requestsReceived.get() == 0) {
      Thread.sleep(5);
    }
  }

  /** A request of this class with an id of its own. */
  static String request(String className) {
    return "POST /"
        + className
        + " HTTP/1.1\r\nRequest-Id: "
        + LAST_REQUEST_ID.incrementAndGet()
        + "\r\nRequest-Class: "
        + className
        + "\r\nWork-Hint: 5000\r\nContent-Length: 2\r\n\r\nhi";
  }

  /**
   * Reads an answer: its status, " wait" if it names a Retry-After, the body, and " close" if the
   * connection ends.
   */
  static String readAnswer(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    String head = readHead(input);
    if (head == null) {
      return "closed";
    }
    byte[] body = input.readNBytes(contentLength(head));
    String retryAfter = head.contains("Retry-After: ") ? " wait" : "";
    String text = new String(body, StandardCharsets.ISO_8859_1).strip();
    String close = head.contains("Connection: close") ? " close" : "";
    return (head.substring(9, 12) + retryAfter + " " + text + close).strip();
  }

  /** The answer to this request on a connection of its own. */
  String call(String text) throws IOException {
    try (Socket socket = connect()) {
      return call(socket, text);
    }
  }

  /** The answer to this request on this connection. */
  static String call(Socket socket, String text) throws IOException {
    send(socket, text);
    return readAnswer(socket);
  }

  /** All metrics at this admin port. */
  static String readMetrics(int adminPort) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", adminPort)) {
      return call(socket, "GET /status/metrics HTTP/1.1\r\n\r\n");
    }
  }

  /** One metric of the proxy, which needs an admin address; the name is without its prefix. */
  int metric(String name) {
    try {
      String metrics = readMetrics(server.adminPort());
      return Integer.parseInt(metrics.replaceAll("(?s).*proxy\\." + name + ":(\\d+).*", "$1"));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Records what is logged from this level on, until it is closed. */
  LogRecording recordLog(Level level) {
    return new LogRecording(recorder, level);
  }

  /** Puts the log into the trace, without ports and paths, which differ from run to run. */
  static final class LogRecording extends Handler implements AutoCloseable {
    private final Logger logger = Logger.getLogger(LOGGER_NAME);
    private final TraceRecorder recorder;

    private LogRecording(TraceRecorder recorder, Level level) {
      this.recorder = recorder;
      logger.addHandler(this);
      logger.setLevel(level);
    }

    @Override
    public void publish(LogRecord entry) {
      recorder.say(
          "log: "
              + entry
                  .getMessage()
                  .replaceAll("127.0.0.1:\\d+", "PORT")
                  .replaceAll("/\\S*/(wheattrack\\d+|proxy)\\.", "FILE."));
    }

    @Override
    public void flush() {
      // nothing is buffered
    }

    @Override
    public void close() {
      logger.removeHandler(this);
      logger.setLevel(Level.SEVERE);
    }
  }
}
