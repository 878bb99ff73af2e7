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

/** A process is replaced by a newer one that starts beside it, at the same listening address. */
class ProcessHandoverTest extends ProxyTestHarness {
  private static final int CLIENT_COUNT = 6;
  private static final int SERVER_REPLACEMENTS = 8;
  private static final int PROCESS_REPLACEMENTS = 20;

  @TempDir Path folder;

  private final AtomicInteger answeredRequests = new AtomicInteger();
  private final AtomicInteger failedRequests = new AtomicInteger();
  private volatile boolean isStopped;

  private ProxyServer startReady(String config) throws Exception {
    ProxyServer proxy = new ProxyServer(new ProxyConfig(Json.object(config)));
    start(proxy::run);
    for (int i = 0; status(proxy) != 200; i++) {
      assertTrue(i < 600, "not ready within 6 s");
      Thread.sleep(10);
    }
    return proxy;
  }

  private static int status(ProxyServer proxy) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", proxy.adminPort())) {
      return Integer.parseInt(call(socket, "GET /status HTTP/1.1\r\n\r\n").substring(0, 3));
    }
  }

  /**
   * A configuration with three backends and a list, at a listening address that was free just now.
   */
  private String configWithThreeBackends(int maxDescriptors) throws Exception {
    news.add(told(1, true, ready("s0"), ready("s1"), ready("s2")));
    int discoveryPort = open(this::list).getLocalPort();
    port = freePort();
    String cachedList = told(1, true, ready("s0"), ready("s1"), ready("s2"));
    return config(discoveryPort, maxDescriptors, cachedList)
        .replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"");
  }

  private void runClient() throws Exception {
    Socket socket = null;
    while (!isStopped) {
      try {
        socket = socket == null ? connect() : socket;
        String answer = call(socket, request("buy"));
        answeredRequests.incrementAndGet();
        if (!answer.startsWith("200")) {
          failedRequests.incrementAndGet();
        }
        if (answer.endsWith(" close")) {
          socket.close();
          socket = null;
        }
        Thread.sleep(1);
      } catch (IOException e) {
        failedRequests.incrementAndGet();
        socket = null;
      }
    }
  }

  /**
   * Replacements one after another while clients send requests: connections are not refused, reset
   * or left unread, but for a few.
   */
  @Test
  void replacementsUnderLoadKeepConnections() throws Exception {
    String config =
        configWithThreeBackends(1024)
            .replace("\"drain_ms\":1000", "\"drain_ms\":100,\"admin\":\"127.0.0.1:0\"");
    server = startReady(config);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      clients.add(start(this::runClient));
    }
    for (int i = 0; i < SERVER_REPLACEMENTS; i++) {
      ProxyServer next = startReady(config);
      int answeredBefore = answeredRequests.get();
      server.shutdown();
      server = next;
      Thread.sleep(50);
      assertTrue(
          answeredRequests.get() > answeredBefore, "nobody was served by the newer process alone");
    }
    isStopped = true;
    for (Thread client : clients) {
      client.join(2000);
    }
    assertTrue(
        failedRequests.get() <= SERVER_REPLACEMENTS / 2,
        failedRequests + " of " + answeredRequests + " reqs");
  }

  /** The same with real processes; bounds the descriptors of both together, prints their memory. */
  @Test
  void processReplacementsStayWithinBounds() throws Exception {
    String config = configWithThreeBackends(256);
    Process current = startProcess(config);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      clients.add(start(this::runClient));
    }
    long maxMemoryKilobytes = 0;
    long maxDescriptors = 0;
    try {
      for (int i = 0; i < PROCESS_REPLACEMENTS; i++) {
        Process next = startProcess(config);
        int answeredBefore = answeredRequests.get();
        maxMemoryKilobytes =
            Math.max(maxMemoryKilobytes, residentKilobytes(current) + residentKilobytes(next));
        maxDescriptors = Math.max(maxDescriptors, openDescriptors(current) + openDescriptors(next));
        current.destroy();
        assertTrue(current.waitFor(5, TimeUnit.SECONDS), "does not end at SIGTERM");
        current = next;
        Thread.sleep(30);
        assertTrue(
            answeredRequests.get() > answeredBefore,
            "nobody was served by the newer process alone");
      }
    } finally {
      isStopped = true;
      for (Thread client : clients) {
        client.join(2000);
      }
      current.destroyForcibly();
    }
    System.out.println(
        PROCESS_REPLACEMENTS
            + " processes replaced: "
            + failedRequests
            + " of "
            + answeredRequests
            + " reqs met a broken"
            + " connection, at most "
            + maxMemoryKilobytes / 1024
            + " MB and "
            + maxDescriptors
            + " descriptors in both");
    assertTrue(
        failedRequests.get() <= PROCESS_REPLACEMENTS / 2,
        failedRequests + " of " + answeredRequests);
    assertTrue(maxDescriptors <= 256, maxDescriptors + " descriptors");
  }

  private Process startProcess(String config) throws Exception {
    int adminPort = freePort();
    Path configFile = folder.resolve("proxy" + adminPort + ".json");
    Files.writeString(
        configFile,
        config.replace(
            "\"drain_ms\":1000", "\"drain_ms\":100,\"admin\":\"127.0.0.1:" + adminPort + "\""));
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
                configFile.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile());
    builder.environment().put("TMPDIR", folder.toString());
    Process process = builder.start();
    for (int i = 0; i < 600; i++) {
      Thread.sleep(10);
      try (Socket socket = new Socket("127.0.0.1", adminPort)) {
        if (call(socket, "GET /status HTTP/1.1\r\n\r\n").startsWith("200")) {
          return process;
        }
      } catch (IOException e) {
        continue; // it does not listen yet
      }
    }
    throw new AssertionError("not ready within 6 s: " + Files.readString(folder.resolve("log")));
  }

  private static long residentKilobytes(Process process) throws IOException {
    return Files.readAllLines(Path.of("/proc", process.pid() + "", "status")).stream()
        .filter(line -> line.startsWith("VmRSS"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .sum();
  }

  private static long openDescriptors(Process process) throws IOException {
    try (var files = Files.list(Path.of("/proc", process.pid() + "", "fd"))) {
      return files.count();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return free.getLocalPort();
    }
  }

  /** A newer process that is shut down before it is ready leaves the older one as it was. */
  @Test
  void newerProcessEndingFirstLeavesOlderServing() throws Exception {
    news.add(told(1, true, ready("s0")));
    int discoveryPort = open(this::list).getLocalPort();
    port = freePort();
    String config =
        config(discoveryPort, 1024, "{}")
            .replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"")
            .replace("\"drain_ms\":1000", "\"drain_ms\":0,\"admin\":\"127.0.0.1:0\"");
    server = startReady(config);
    ProxyServer newer = new ProxyServer(new ProxyConfig(Json.object(config)));
    start(newer::run);
    newer.shutdown();
    for (int i = 0; i < 20; i++) {
      assertEquals("200 s0", call(request("buy")));
    }
    assertEquals(200, status(server));
    server = startReady(config); // and a third process can take the newer one's place
  }
}
