package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.request;

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

/**
 * Handover: a process is replaced by a newer one at the same client address; both run meanwhile.
 */
class ProcessHandoverTest extends ProxyTestHarness {
  private static final int CLIENTS = 6;

  /** How many proxies within this JVM replace each other, and how many processes do. */
  private static final int REPLACEMENTS = 8;

  private static final int PROCESS_REPLACEMENTS = 20;

  @TempDir Path folder;

  private final AtomicInteger requestsDone = new AtomicInteger();
  private final AtomicInteger requestsBroken = new AtomicInteger();
  private volatile boolean isStopping;

  private ProxyServer startUntilReady(String config) throws Exception {
    ProxyServer proxy = new ProxyServer(new ProxyConfig(Json.object(config)));
    startThread(proxy::run);
    for (int i = 0; readAdminStatus(proxy) != 200; i++) {
      assertTrue(i < 600, "not ready within 6 s");
      Thread.sleep(10);
    }
    return proxy;
  }

  private static int readAdminStatus(ProxyServer proxy) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", proxy.adminPort())) {
      return Integer.parseInt(call(socket, "GET /status HTTP/1.1\r\n\r\n").substring(0, 3));
    }
  }

  /**
   * A configuration with three backends and a list, at a clients' address that was free just now.
   */
  private String configWithThreeBackends(int maxSockets) throws Exception {
    endpointList.send(
        listLine(1, true, startBackend("s0"), startBackend("s1"), startBackend("s2")));
    int listPort = listen(endpointList::serve).getLocalPort();
    port = freePort();
    String knownList =
        listLine(1, true, startBackend("s0"), startBackend("s1"), startBackend("s2"));
    return config(listPort, maxSockets, knownList)
        .replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"");
  }

  private void runClient() throws Exception {
    Socket socket = null;
    while (!isStopping) {
      try {
        socket = socket == null ? connect() : socket;
        String answer = call(socket, request("buy"));
        requestsDone.incrementAndGet();
        if (!answer.startsWith("200")) {
          requestsBroken.incrementAndGet();
        }
        if (answer.endsWith(" close")) {
          socket.close();
          socket = null;
        }
        Thread.sleep(1);
      } catch (IOException e) {
        requestsBroken.incrementAndGet();
        socket = null;
      }
    }
  }

  /** Replacements under load break few connections. */
  @Test
  void replacedProxiesBreakFewConnections() throws Exception {
    String config =
        configWithThreeBackends(1024)
            .replace("\"drain_ms\":1000", "\"drain_ms\":100,\"admin\":\"127.0.0.1:0\"");
    server = startUntilReady(config);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(startThread(this::runClient));
    }
    for (int i = 0; i < REPLACEMENTS; i++) {
      ProxyServer next = startUntilReady(config);
      int doneBefore = requestsDone.get();
      server.shutdown();
      server = next;
      Thread.sleep(50);
      assertTrue(
          requestsDone.get() > doneBefore, "no request was served by the newer process alone");
    }
    isStopping = true;
    for (Thread client : clients) {
      client.join(2000);
    }
    assertTrue(
        requestsBroken.get() <= REPLACEMENTS / 2,
        requestsBroken + " of " + requestsDone + " requests");
  }

  /** The same with separate processes; the memory and descriptors of both are added. */
  @Test
  void replacedProcessesBreakFewConnections() throws Exception {
    String config = configWithThreeBackends(256);
    Process current = startProcess(config);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(startThread(this::runClient));
    }
    long peakKilobytes = 0;
    long peakDescriptors = 0;
    try {
      for (int i = 0; i < PROCESS_REPLACEMENTS; i++) {
        Process next = startProcess(config);
        int doneBefore = requestsDone.get();
        peakKilobytes =
            Math.max(peakKilobytes, residentKilobytes(current) + residentKilobytes(next));
        peakDescriptors =
            Math.max(peakDescriptors, openDescriptors(current) + openDescriptors(next));
        current.destroy();
        assertTrue(current.waitFor(5, TimeUnit.SECONDS), "does not end at SIGTERM");
        current = next;
        Thread.sleep(30);
        assertTrue(
            requestsDone.get() > doneBefore, "no request was served by the newer process alone");
      }
    } finally {
      isStopping = true;
      for (Thread client : clients) {
        client.join(2000);
      }
      current.destroyForcibly();
    }
    System.out.println(
        PROCESS_REPLACEMENTS
            + " processes replaced: "
            + requestsBroken
            + " of "
            + requestsDone
            + " requests met a broken"
            + " connection, at most "
            + peakKilobytes / 1024
            + " MB and "
            + peakDescriptors
            + " descriptors in both");
    assertTrue(
        requestsBroken.get() <= PROCESS_REPLACEMENTS / 2, requestsBroken + " of " + requestsDone);
    assertTrue(peakDescriptors <= 256, peakDescriptors + " descriptors");
  }

  private Process startProcess(String config) throws Exception {
    int adminPort = freePort();
    Path file = folder.resolve("proxy" + adminPort + ".json");
    Files.writeString(
        file,
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
                file.toString())
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

  /** A newer proxy that ends before it is ready leaves the older one serving. */
  @Test
  void newerProxyEndedBeforeReadyLeavesTheOlderServing() throws Exception {
    endpointList.send(listLine(1, true, startBackend("s0")));
    int listPort = listen(endpointList::serve).getLocalPort();
    port = freePort();
    String config =
        config(listPort)
            .replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"")
            .replace("\"drain_ms\":1000", "\"drain_ms\":0,\"admin\":\"127.0.0.1:0\"");
    server = startUntilReady(config);
    ProxyServer next = new ProxyServer(new ProxyConfig(Json.object(config)));
    startThread(next::run);
    next.shutdown();
    for (int i = 0; i < 20; i++) {
      assertEquals("200 s0", call(request("buy")));
    }
    assertEquals(200, readAdminStatus(server));
    ProxyServer older = server;
    server = startUntilReady(config); // and a third one finds a free lock
    older.shutdown();
  }
}
