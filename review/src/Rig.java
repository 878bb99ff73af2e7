import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What the cases share: the record, the proxies as processes of the deploy file, and stand-ins for
 * discovery, backends, clients and the network between them, by the operators' protocol page. All
 * addresses are 127.0.0.1.
 */
final class Rig implements AutoCloseable {
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final long T0 = System.nanoTime();

  final Path root; // of the repository
  final Path temp; // a temporary folder of this run
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final PrintWriter record;
  private final List<Proxy> proxies = new CopyOnWriteArrayList<>();

  /** Arguments: the repository's root, the case's folder. */
  Rig(String[] args) throws IOException {
    root = Path.of(args[0]).toAbsolutePath().normalize();
    record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1]).resolve("record.txt")), true);
    temp = Files.createTempDirectory("review-");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    log("disruption " + (trouble ? "on" : "off (TROUBLE=0)"));
  }

  /** Milliseconds since the start of this program. */
  static double ms() {
    return (System.nanoTime() - T0) / 1e6;
  }

  static void sleep(double millis) {
    long end = System.nanoTime() + (long) (millis * 1e6);
    for (long left = end - System.nanoTime(); left > 0; left = end - System.nanoTime()) {
      try {
        TimeUnit.NANOSECONDS.sleep(left);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  static Thread thread(String name, Body body) {
    Thread t =
        new Thread(
            null,
            () -> {
              try {
                body.run();
              } catch (Exception e) {
                // the other side ended the connection, or the run is over
              }
            },
            name,
            256 * 1024);
    t.setDaemon(true);
    t.start();
    return t;
  }

  interface Body {
    void run() throws Exception;
  }

  void log(String text) {
    synchronized (record) {
      record.printf(Locale.ROOT, "%10.1f %s%n", ms(), text);
    }
  }

  /** Ends the run: 0 the rule held, 1 it was broken, 2 the case could not run. */
  void end(int code, String verdict) {
    log("VERDICT " + code + ": " + verdict);
    System.out.println(verdict);
    endProcesses();
    Runtime.getRuntime().halt(code);
  }

  @Override
  public void close() {
    endProcesses();
  }

  private void endProcesses() {
    for (Proxy proxy : proxies) {
      proxy.kill();
    }
    try (var files = Files.walk(temp)) {
      files
          .sorted(java.util.Comparator.reverseOrder())
          .forEach(
              file -> {
                try {
                  if (file.toString().endsWith(".log")) {
                    synchronized (record) {
                      record.println("---- " + file.getFileName());
                      Files.readAllLines(file).stream().limit(400).forEach(record::println);
                    }
                  }
                  Files.delete(file);
                } catch (IOException e) {
                  // left behind in the temporary folder
                }
              });
    } catch (IOException e) {
      // removed already
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
      return socket.getLocalPort();
    }
  }

  // ---- proxies

  /** One process of the proxy, started by the line `run` of the deploy file. */
  final class Proxy {
    final String name;
    final int port;
    final Process process;
    final Path config;
    final Path tempFolder;

    Proxy(String name, int port, int discoveryPort, Path config, Path tempFolder)
        throws IOException {
      this.name = name;
      this.port = port;
      this.config = config;
      this.tempFolder = tempFolder;
      String line =
          Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
              .filter(l -> l.startsWith("run = \""))
              .findFirst()
              .orElseThrow();
      String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
      builder.directory(root.toFile());
      builder.environment().put("GW_NAME", name);
      builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("GW_DISCOVERY", "127.0.0.1:" + discoveryPort);
      builder.environment().put("GW_CONFIG", config.toString());
      builder.environment().put("TMPDIR", tempFolder.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
      process = builder.start();
      proxies.add(this);
      log("proxy " + name + " started, pid " + process.pid() + ", clients at " + port);
    }

    void signal(String signal) throws Exception {
      log("proxy " + name + " gets " + signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() {
      process.destroyForcibly();
    }

    /** Waits until GET /ready answers 200. */
    void awaitReady() throws Exception {
      double end = ms() + 30_000;
      while (ms() < end && process.isAlive()) {
        try (Client client = new Client(port, 1000)) {
          if (client.call("GET", "/ready", "", null).status == 200) {
            log("proxy " + name + " is ready");
            return;
          }
        } catch (IOException e) {
          // not listening yet
        }
        sleep(50);
      }
      throw new IOException("proxy " + name + " is not ready");
    }
  }

  Proxy proxy(String name, int port, int discoveryPort, String limits, String settings)
      throws IOException {
    Path folder = Files.createDirectories(temp.resolve(name + ".tmp"));
    Path config = temp.resolve(name + ".json");
    Files.writeString(config, config(name, port, discoveryPort, limits, settings));
    return new Proxy(name, port, discoveryPort, config, folder);
  }

  static String config(
      String name, int port, int discoveryPort, String limits, String settings) {
    return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
        + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":" + limits
        + ",\"known\":{},\"settings\":" + settings + "}";
  }

  // ---- discovery

  /** Serves the endpoint list as the protocol page says. */
  final class Discovery {
    final int port;
    private final Map<String, String> targets = new TreeMap<>();
    private final List<LinkedBlockingQueue<String>> watches = new CopyOnWriteArrayList<>();
    private long rev = 40;

    Discovery() throws IOException {
      ServerSocket server = new ServerSocket(0, 200, LOOPBACK);
      port = server.getLocalPort();
      thread(
          "discovery",
          () -> {
            while (true) {
              Socket socket = server.accept();
              thread("watch", () -> serve(socket));
            }
          });
    }

    static String entry(
        String uid, int port, String zone, int cell, String state, long bootMs, double weight) {
      return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone
          + "\",\"model\":\"std\",\"pod_group\":" + cell + ",\"state\":\"" + state
          + "\",\"capacity_hint\":" + weight + ",\"boot_ms\":" + bootMs + "}";
    }

    synchronized void put(String uid, String entry) {
      targets.put(uid, entry);
      rev++;
      log("discovery rev " + rev + ": " + entry);
      String line = "{\"rev\":" + rev + ",\"all\":false,\"targets\":[" + entry + "]}";
      watches.forEach(watch -> watch.add(line));
    }

    private synchronized String whole() {
      return "{\"rev\":" + rev + ",\"all\":true,\"targets\":[" + String.join(",", targets.values())
          + "]}";
    }

    private void serve(Socket socket) throws Exception {
      Message call = Message.read(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      if (call == null || !call.start.contains("watch=1")) {
        byte[] body = whole().getBytes(StandardCharsets.UTF_8);
        out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
        out.write(body);
        socket.close();
        return;
      }
      LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
      synchronized (this) {
        lines.add(whole());
        watches.add(lines);
      }
      out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      try {
        while (true) {
          String line = lines.poll(2, TimeUnit.SECONDS);
          byte[] bytes = ((line == null ? "" : line) + "\n").getBytes(StandardCharsets.UTF_8);
          out.write(ascii(Integer.toHexString(bytes.length) + "\r\n"));
          out.write(bytes);
          out.write(ascii("\r\n"));
          out.flush();
        }
      } finally {
        watches.remove(lines);
      }
    }
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  // ---- HTTP

  /** One message, complete, with its body. */
  static final class Message {
    String start;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = {};
    int status;

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    private static String line(InputStream in) throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          if (line.size() == 0) {
            return null;
          }
          throw new EOFException("within a line");
        }
        line.write(c);
      }
      return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** Reads a message; null: the other side has closed before its first byte. */
    static Message read(InputStream in) throws IOException {
      Message message = new Message();
      message.start = line(in);
      if (message.start == null) {
        return null;
      }
      for (String line = line(in); ; line = line(in)) {
        if (line == null) {
          throw new EOFException("within a head");
        }
        if (line.isEmpty()) {
          break;
        }
        int colon = line.indexOf(':');
        message.headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      }
      if (message.start.startsWith("HTTP/1.")) {
        message.status = Integer.parseInt(message.start.substring(9, 12));
      }
      if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
          String size = line(in);
          if (size == null) {
            throw new EOFException("within a body");
          }
          int length = Integer.parseInt(size.split(";")[0].strip(), 16);
          if (length == 0) {
            while (!line(in).isEmpty()) {}
            break;
          }
          all.write(exactly(in, length));
          line(in);
        }
        message.body = all.toByteArray();
      } else if (message.header("content-length") != null) {
        message.body = exactly(in, Integer.parseInt(message.header("content-length")));
      }
      return message;
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException("body ends after " + bytes.length + " of " + length + " bytes");
      }
      return bytes;
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  // ---- backends

  interface Handler {
    /** Answers a request that was received completely. */
    void handle(Backend backend, Socket socket, Message request) throws Exception;
  }

  /** A backend: a thread for each connection, one request at a time. */
  static final class Backend {
    final String name;
    final int port;
    final AtomicInteger connections = new AtomicInteger();

    Backend(String name, Handler handler) throws IOException {
      this.name = name;
      ServerSocket server = new ServerSocket(0, 1000, LOOPBACK);
      port = server.getLocalPort();
      thread(
          name,
          () -> {
            while (true) {
              Socket socket = server.accept();
              connections.incrementAndGet();
              socket.setTcpNoDelay(true);
              thread(
                  name,
                  () -> {
                    try (socket) {
                      InputStream in = new BufferedInputStream(socket.getInputStream());
                      for (Message request = Message.read(in);
                          request != null;
                          request = Message.read(in)) {
                        handler.handle(this, socket, request);
                      }
                    }
                  });
            }
          });
    }

    static void answer(Socket socket, int status, String extraHeaders, byte[] body)
        throws IOException {
      byte[] head =
          ascii("HTTP/1.1 " + status + " X\r\n" + extraHeaders + "Content-Length: " + body.length
              + "\r\n\r\n");
      byte[] all = new byte[head.length + body.length];
      System.arraycopy(head, 0, all, 0, head.length);
      System.arraycopy(body, 0, all, head.length, body.length);
      OutputStream out = socket.getOutputStream();
      out.write(all);
      out.flush();
    }
  }

  // ---- clients

  /** One client connection; sends one request at a time. */
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;

    Client(int port, int timeoutMillis) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMillis);
      socket.setSoTimeout(timeoutMillis);
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and returns the answer; null: the connection was closed with no answer. */
    Message call(String method, String path, String headers, byte[] body) throws IOException {
      send(method, path, headers, body);
      return Message.read(in);
    }

    void send(String method, String path, String headers, byte[] body) throws IOException {
      byte[] head =
          ascii(method + " " + path + " HTTP/1.1\r\nHost: service.internal\r\n" + headers
              + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head);
      if (body != null) {
        all.write(body);
      }
      socket.getOutputStream().write(all.toByteArray());
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // ---- the network

  /** A link that passes bytes on after a fixed delay, each way. */
  static final class Link {
    final int port;

    Link(int target, double delayMillis) throws IOException {
      ServerSocket server = new ServerSocket(0, 1000, LOOPBACK);
      port = server.getLocalPort();
      thread(
          "link",
          () -> {
            while (true) {
              Socket near = server.accept();
              Socket far = new Socket(LOOPBACK, target);
              near.setTcpNoDelay(true);
              far.setTcpNoDelay(true);
              pass(near, far, delayMillis);
              pass(far, near, delayMillis);
            }
          });
    }

    private record Piece(long due, byte[] bytes) {}

    private static void pass(Socket from, Socket to, double delayMillis) {
      LinkedBlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
      long delay = (long) (delayMillis * 1e6);
      thread(
          "link-in",
          () -> {
            byte[] buffer = new byte[64 * 1024];
            try {
              for (int n = from.getInputStream().read(buffer);
                  n >= 0;
                  n = from.getInputStream().read(buffer)) {
                pieces.add(new Piece(System.nanoTime() + delay, java.util.Arrays.copyOf(buffer, n)));
              }
            } finally {
              pieces.add(new Piece(System.nanoTime() + delay, null));
            }
          });
      thread(
          "link-out",
          () -> {
            try (from;
                to) {
              while (true) {
                Piece piece = pieces.take();
                sleep((piece.due - System.nanoTime()) / 1e6);
                if (piece.bytes == null) {
                  return;
                }
                to.getOutputStream().write(piece.bytes);
              }
            }
          });
    }
  }
}
