package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/** A process replaced by another one beside it, at the same address of clients. */
class ProcessHandoverTest extends ProxyTestHarness {
  private static final int CLIENTS = 6, REPLACEMENTS = 8, IN_A_ROW = 20;

  @TempDir Path folder;

  private final AtomicInteger done = new AtomicInteger(), broken = new AtomicInteger();
  private volatile boolean stop;

  private ProxyServer begin(String text) throws Exception {
    ProxyServer next = new ProxyServer(new ProxyConfig(Json.object(text)));
    start(next::run);
    for (int i = 0; status(next) != 200; i++) {
      assertTrue(i < 600, "not ready within 6 s");
      Thread.sleep(10);
    }
    return next;
  }

  private static int status(ProxyServer of) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", of.adminPort())) {
      return Integer.parseInt(call(socket, "GET /status HTTP/1.1\r\n\r\n").substring(0, 3));
    }
  }

  /**
   * A configuration with three backends and a list, at a clients' address that was free just now.
   */
  private String textOfThree(int sockets) throws Exception {
    news.add(told(1, true, ready("s0"), ready("s1"), ready("s2")));
    int list = open(this::list).getLocalPort();
    port = freePort();
    String known = told(1, true, ready("s0"), ready("s1"), ready("s2"));
    return config(list, sockets, known).replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"");
  }

  private void client() throws Exception {
    Socket socket = null;
    while (!stop) {
      try {
        socket = socket == null ? connect() : socket;
        String answer = call(socket, request("buy"));
        done.incrementAndGet();
        if (!answer.startsWith("200")) {
          broken.incrementAndGet();
        }
        if (answer.endsWith(" close")) {
          socket.close();
          socket = null;
        }
        Thread.sleep(1);
      } catch (IOException e) {
        broken.incrementAndGet();
        socket = null;
      }
    }
  }

  /** Under load, one replacement after another: no connection refused, reset or left unread. */
  @Test
  void replacements() throws Exception {
    String text =
        textOfThree(1024)
            .replace("\"drain_ms\":1000", "\"drain_ms\":100,\"admin\":\"127.0.0.1:0\"");
    server = begin(text);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(start(this::client));
    }
    for (int i = 0; i < REPLACEMENTS; i++) {
      ProxyServer next = begin(text);
      int before = done.get();
      server.end();
      server = next;
      Thread.sleep(50);
      assertTrue(done.get() > before, "nobody was served by the newer process alone");
    }
    stop = true;
    for (Thread client : clients) {
      client.join(2000);
    }
    assertTrue(broken.get() <= REPLACEMENTS / 2, broken + " of " + done + " reqs");
  }

  /** The same with processes of their own; memory and descriptors of both together. */
  @Test
  void processes() throws Exception {
    String text = textOfThree(256);
    Process old = process(text);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(start(this::client));
    }
    long memory = 0, files = 0;
    try {
      for (int i = 0; i < IN_A_ROW; i++) {
        Process next = process(text);
        int before = done.get();
        memory = Math.max(memory, kilobytes(old) + kilobytes(next));
        files = Math.max(files, descriptors(old) + descriptors(next));
        old.destroy();
        assertTrue(old.waitFor(5, TimeUnit.SECONDS), "does not end at SIGTERM");
        old = next;
        Thread.sleep(30);
        assertTrue(done.get() > before, "nobody was served by the newer process alone");
      }
    } finally {
      stop = true;
      for (Thread client : clients) {
        client.join(2000);
      }
      old.destroyForcibly();
    }
    System.out.println(
        IN_A_ROW
            + " processes replaced: "
            + broken
            + " of "
            + done
            + " reqs met a broken"
            + " connection, at most "
            + memory / 1024
            + " MB and "
            + files
            + " descriptors in both");
    assertTrue(broken.get() <= IN_A_ROW / 2, broken + " of " + done);
    assertTrue(files <= 256, files + " descriptors");
  }

  private Process process(String text) throws Exception {
    int calls = freePort();
    Path file = folder.resolve("proxy" + calls + ".json");
    Files.writeString(
        file,
        text.replace(
            "\"drain_ms\":1000", "\"drain_ms\":100,\"admin\":\"127.0.0.1:" + calls + "\""));
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Djava.net.preferIPv4Stack=true",
                "-Xmx72m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "wheattrack.Main",
                "serve",
                "--config",
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile());
    builder.environment().put("TMPDIR", folder.toString());
    Process process = builder.start();
    for (int i = 0; i < 600; i++) {
      Thread.sleep(10);
      try (Socket socket = new Socket("127.0.0.1", calls)) {
        if (call(socket, "GET /status HTTP/1.1\r\n\r\n").startsWith("200")) {
          return process;
        }
      } catch (IOException e) {
        continue; // it does not listen yet
      }
    }
    throw new AssertionError("not ready within 6 s: " + Files.readString(folder.resolve("log")));
  }

  private static long kilobytes(Process of) throws IOException {
    return Files.readAllLines(Path.of("/proc", of.pid() + "", "status")).stream()
        .filter(line -> line.startsWith("VmRSS"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .sum();
  }

  private static long descriptors(Process of) throws IOException {
    try (var files = Files.list(Path.of("/proc", of.pid() + "", "fd"))) {
      return files.count();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return free.getLocalPort();
    }
  }

  /** The newer process, told to end before it is ready, leaves the older one as it was. */
  @Test
  void newerDiesFirst() throws Exception {
    news.add(told(1, true, ready("s0")));
    int list = open(this::list).getLocalPort();
    port = freePort();
    String text =
        config(list, 1024, "{}")
            .replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"")
            .replace("\"drain_ms\":1000", "\"drain_ms\":0,\"admin\":\"127.0.0.1:0\"");
    server = begin(text);
    ProxyServer next = new ProxyServer(new ProxyConfig(Json.object(text)));
    start(next::run);
    next.end();
    for (int i = 0; i < 20; i++) {
      assertEquals("200 s0", call(request("buy")));
    }
    assertEquals(200, status(server));
    server = begin(text); // and a third one finds its seat
  }
}
