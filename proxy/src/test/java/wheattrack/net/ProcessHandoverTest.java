package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.request;

import java.io.IOException;
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

/** Handover: a newer process replaces an older one at the same client address, while both run. */
class ProcessHandoverTest extends ProxyTestHarness {
  /** How often a proxy is asked whether it is ready; with 10 ms between two requests, for 6 s. */
  private static final int READY_POLLS = 600;

  private static final int READY_POLL_MILLIS = 10;
  private static final int CLIENTS = 6;

  /** How many replacements there are between proxies in this JVM. */
  private static final int REPLACEMENTS = 8;

  /** How many replacements there are between separate processes. */
  private static final int PROCESS_REPLACEMENTS = 20;

  @TempDir Path folder;

  private final AtomicInteger requestsDone = new AtomicInteger();
  private final AtomicInteger requestsNotServed = new AtomicInteger();
  private volatile boolean isStopping;

  private ProxyServer startUntilReady(String config) throws Exception {
    ProxyServer proxy = new ProxyServer(new ProxyConfig(Json.object(config)));
    startThread(proxy::run);
    for (int i = 0; readAdminStatus(proxy) != 200; i++) {
      assertTrue(i < READY_POLLS, "the proxy is not ready within 6 s");
      Thread.sleep(READY_POLL_MILLIS);
    }
    return proxy;
  }

  private static int readAdminStatus(ProxyServer proxy) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", proxy.adminPort())) {
      return Integer.parseInt(call(socket, "GET /status HTTP/1.1\r\n\r\n").substring(0, 3));
    }
  }

  /**
   * A configuration with three backends and an endpoint list; the client port is free at the
   * moment.
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
          requestsNotServed.incrementAndGet();
        }
        if (answer.endsWith(" close")) {
          socket.close();
          socket = null;
        }
        Thread.sleep(1);
      } catch (IOException e) {
        requestsNotServed.incrementAndGet();
        socket = null;
      }
    }
  }

  /** Replacements under load leave at most one request in two replacements without a 200. */
  @Test
  void replacedProxiesLeaveFewRequestsUnserved() throws Exception {
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
        requestsNotServed.get() <= REPLACEMENTS / 2,
        "expected at most "
            + REPLACEMENTS / 2
            + " requests not served, got "
            + requestsNotServed
            + " of "
            + requestsDone);
  }

  /** The same with separate processes, which together use at most 256 descriptors. */
  @Test
  void replacedProcessesLeaveFewRequestsUnserved() throws Exception {
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
        assertTrue(
            current.waitFor(5, TimeUnit.SECONDS),
            "the older process did not end within 5 s of SIGTERM");
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
            + requestsNotServed
            + " of "
            + requestsDone
            + " requests not served, at most "
            + peakKilobytes / 1024
            + " MB and "
            + peakDescriptors
            + " descriptors in both processes");
    assertTrue(
        requestsNotServed.get() <= PROCESS_REPLACEMENTS / 2,
        "expected at most "
            + PROCESS_REPLACEMENTS / 2
            + " requests not served, got "
            + requestsNotServed
            + " of "
            + requestsDone);
    assertTrue(peakDescriptors <= 256, "expected at most 256 descriptors, got " + peakDescriptors);
  }

  private Process startProcess(String config) throws Exception {
    int adminPort = freePort();
    Path file = folder.resolve("proxy" + adminPort + ".json");
    Files.writeString(
        file,
        config.replace(
            "\"drain_ms\":1000", "\"drain_ms\":100,\"admin\":\"127.0.0.1:" + adminPort + "\""));
    ProcessBuilder builder =
        proxyProcess(
            file,
            folder.resolve("log"),
            "-Djava.net.preferIPv4Stack=true",
            "-Xmx72m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1");
    builder.environment().put("TMPDIR", folder.toString());
    Process process = builder.start();
    for (int i = 0; i < READY_POLLS; i++) {
      Thread.sleep(READY_POLL_MILLIS);
      try (Socket socket = new Socket("127.0.0.1", adminPort)) {
        if (call(socket, "GET /status HTTP/1.1\r\n\r\n").startsWith("200")) {
          return process;
        }
      } catch (IOException e) {
        continue; // the process does not listen yet
      }
    }
    throw new AssertionError(
        "the process is not ready within 6 s: " + Files.readString(folder.resolve("log")));
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

  /** A newer proxy that ends before it is ready does not stop the older one. */
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
    server = startUntilReady(config); // a third process can take the lock of the ended one
    older.shutdown();
  }
}
