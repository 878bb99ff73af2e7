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

/** One proxy on loopback sockets between a client, a list and backends that the test plays. */
abstract class ProxyTestHarness {
  static final int BACKLOG = 100;
  static final AtomicInteger IDS = new AtomicInteger();

  final TraceRecorder w = new TraceRecorder();
  final List<ServerSocket> doors = new ArrayList<>();

  /** What the backends do with the next requests, whichever gets them. */
  final BlockingQueue<String> script = new LinkedBlockingQueue<>();

  final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
  final AtomicInteger came = new AtomicInteger();

  /** The list's answers, a watch each: lines, and at last what becomes of the connection. */
  final BlockingQueue<String> news = new LinkedBlockingQueue<>();

  final AtomicInteger watches = new AtomicInteger();
  ProxyServer server;
  int port;
  Thread running;
  private volatile boolean over;

  @BeforeAll
  static void quiet() {
    Logger.getLogger("wheattrack").setLevel(Level.SEVERE);
  }

  interface Talk {
    void with(Socket socket) throws Exception;
  }

  ServerSocket open(Talk talk) throws IOException {
    ServerSocket door = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    doors.add(door);
    start(
        () -> {
          while (true) {
            Socket socket = door.accept();
            start(() -> talk.with(socket));
          }
        });
    return door;
  }

  interface Work {
    void run() throws Exception;
  }

  static Thread start(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (Exception e) {
                // the other side has gone, or the test is over
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static String head(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    for (int c = in.read(); c >= 0; c = in.read()) {
      head.write(c);
      if (head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        return head.toString(StandardCharsets.ISO_8859_1);
      }
    }
    return null;
  }

  static int length(String head) {
    int at = head.toLowerCase().indexOf("content-length: ");
    return at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r\n", at)));
  }

  static void send(Socket to, String text) throws IOException {
    to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  void backend(String name, Socket socket) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: ";
    String nothing = "Content-Length: 0\r\n\r\n";
    for (String head = head(in); head != null; head = head(in)) {
      in.readNBytes(length(head));
      came.incrementAndGet();
      String act = script.isEmpty() ? "ok" : script.take();
      switch (act) {
        case "ok" -> send(socket, answer + name.length() + "\r\n\r\n" + name);
        case "chunks" ->
            send(
                socket,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n"
                    + name
                    + "\r\n0\r\n\r\n");
        case "echo" -> {
          String body = head.strip().replaceAll("out: [0-9.]+", "out: T").replace("\r\n", "|");
          send(
              socket,
              "HTTP/1.1 200 OK\r\nX-Back: 3\r\nKeep-Alive: 9\r\nContent-Length: "
                  + body.length()
                  + "\r\n\r\n"
                  + body);
        }
        case "slow" -> {
          Thread.sleep(400);
          send(socket, answer + "4\r\n\r\nslow");
        }
        case "slow 500" -> {
          Thread.sleep(200);
          send(socket, "HTTP/1.1 500 X\r\n" + nothing);
        }
        case "full" -> send(socket, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\n" + nothing);
        case "late" -> send(socket, "HTTP/1.1 504 Late\r\nNot-Started: 1\r\n" + nothing);
        case "half" -> send(socket, answer + "9\r\n\r\nhalf");
        case "unmeasured" -> send(socket, "HTTP/1.1 200 OK\r\n\r\nwhole or not?");
        case "garbage" -> send(socket, "SSH-2.0-OpenSSH\r\n\r\n");
        case "cut", "none" -> {}
        default -> send(socket, "HTTP/1.1 " + act + " X\r\n" + nothing);
      }
      if (List.of("cut", "half", "unmeasured", "garbage").contains(act)) {
        socket.close();
      }
    }
    seen.add("closed");
  }

  void list(Socket socket) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    seen.add(head(in).split(" ")[1]);
    int mine = watches.incrementAndGet();
    send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (!over && mine == watches.get()) {
      String line = news.poll(5, TimeUnit.MILLISECONDS);
      if ("end".equals(line)) {
        socket.close();
        return;
      } else if (line != null && line.startsWith("half ")) {
        send(socket, Integer.toHexString(line.length()) + "\r\n" + line.substring(5, 40));
        socket.close();
        return;
      } else if (line != null) {
        send(socket, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
      }
    }
  }

  static String entry(String uid, String state, int port) {
    return "{'uid':'"
        + uid
        + "','endpoint':'127.0.0.1:"
        + port
        + "','az':'a','state':'"
        + state
        + "'}";
  }

  /** A backend of this name that listens, as an entry of the list. */
  String ready(String name) throws IOException {
    return entry(name, "SERVING", open(socket -> backend(name, socket)).getLocalPort());
  }

  static String told(int rev, boolean all, String... entries) {
    return ("{'rev':" + rev + ",'all':" + all + ",'targets':[" + String.join(",", entries) + "]}")
        .replace('\'', '"');
  }

  void serve(int sockets, String known) throws Exception {
    serve(config(open(this::list).getLocalPort(), sockets, known), "");
  }

  void serve(String config, String loadHeader) throws Exception {
    server = new ProxyServer(new ProxyConfig(Json.object(config)), loadHeader);
    port = server.port();
    running = start(server::run);
    while (!call("GET /ready HTTP/1.1\r\n\r\n").startsWith("200")) {
      Thread.sleep(10);
    }
  }

  static String config(int list, int sockets, String known) {
    String set =
        "','clientTimeout':1500000,'responseTarget':1000000,'group':'all','window':5000000,"
            + "'effect':'";
    return ("{'listen':'127.0.0.1:0','discovery':'127.0.0.1:"
            + list
            + "','seed':'1','drain_ms':1000,"
            + "'limits':{'sockets':"
            + sockets
            + "},'known':"
            + known
            + ",'settings':{'balancers':2,'zones':['a'],"
            + "'limits':{'maxDispatches':3,'mayCancel':true,"
            + "'retryAfter':true,'maxRetryAfter':2000000,'dialTimeout':250000,'idleClose':30000000},"
            + "'rules':{'askEvery':1000000},'ruleSets':[{'name':'buy"
            + set
            + "read_like'},{'name':'mark"
            + set
            + "idempotency_key'},{'name':'pay"
            + set
            + "non_idempotent'}]}}")
        .replace('\'', '"');
  }

  /** Backends on the list, and nothing else told. */
  void serveBy(int backends) throws Exception {
    String[] entries = new String[backends];
    for (int i = 0; i < backends; i++) {
      entries[i] = ready("s" + i);
    }
    news.add(told(1, true, entries));
    serve(1024, "{}");
  }

  @AfterEach
  void end() throws Exception {
    over = true;
    if (server != null) {
      server.shutdown();
    }
    for (ServerSocket door : doors) {
      door.close();
    }
  }

  Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
    socket.setSoTimeout(5000);
    return socket;
  }

  /** A first request is at a backend. */
  void untilOneCame() throws InterruptedException {
    while (came.get() == 0) {
      Thread.sleep(5);
    }
  }

  static String request(String set) {
    return "POST /"
        + set
        + " HTTP/1.1\r\nRequest-Id: "
        + IDS.incrementAndGet()
        + "\r\nRequest-Class: "
        + set
        + "\r\nWork-Hint: 5000\r\nContent-Length: 2\r\n\r\nhi";
  }

  /** The answer: status, whether to come again later, the body, whether the connection ends. */
  static String answer(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    String head = head(in);
    if (head == null) {
      return "closed";
    }
    String body = new String(in.readNBytes(length(head)), StandardCharsets.ISO_8859_1).strip();
    return (head.substring(9, 12)
            + (head.contains("Retry-After: ") ? " wait" : "")
            + " "
            + body
            + (head.contains("Connection: close") ? " close" : ""))
        .strip();
  }

  String call(String text) throws IOException {
    try (Socket socket = connect()) {
      return call(socket, text);
    }
  }

  static String call(Socket socket, String text) throws IOException {
    send(socket, text);
    return answer(socket);
  }

  Handler ear() {
    return new Handler() {
      @Override
      public void publish(LogRecord line) {
        w.say(
            "log: "
                + line.getMessage()
                    .replaceAll("127.0.0.1:\\d+", "PORT")
                    .replaceAll("/\\S*/(wheattrack\\d+|proxy)\\.", "FILE."));
      }

      @Override
      public void flush() {
        // nothing is held back
      }

      @Override
      public void close() {
        // nothing is open
      }
    };
  }
}
