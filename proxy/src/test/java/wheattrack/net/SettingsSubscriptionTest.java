package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.readAnswer;
import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.send;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheattrack.config.DynamicSettingsTest;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/** A proxy that watches a settings source, and how it handles failures of that source. */
class SettingsSubscriptionTest extends ManualBackendHarness {
  /** The head of each answer of the source. */
  private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";

  /** How large the oversized settings are, which the proxy rejects. */
  private static final int OVERSIZED_BYTES = 5 << 20;

  /** How long the source is down at the start, in milliseconds. */
  private static final int SOURCE_OUTAGE_MILLIS = 2500;

  @TempDir Path folder;

  /** The request target of each watch of the source, in order of arrival. */
  private final List<String> requestedTargets = Collections.synchronizedList(new ArrayList<>());

  private volatile Socket latestSocket;
  private ServerSocket source;
  private Path file;

  private void startProxyWithSource(String scope) throws Exception {
    source =
        listen(
            socket -> {
              requestedTargets.add(readHead(socket.getInputStream()).split(" ")[1]);
              send(socket, HEAD);
              latestSocket = socket;
            });
    endpointList.send(listLine(1, true, startBackend("s0")));
    String config =
        config(listen(endpointList::serve).getLocalPort())
            .replace("\"drain_ms\"", "\"admin\":\"127.0.0.1:0\",\"drain_ms\"");
    file = Files.writeString(folder.resolve("config.json"), config);
    run(
        new ProxyServer(
            new ProxyConfig(Json.object(config)),
            "",
            (InetSocketAddress) source.getLocalSocketAddress(),
            scope));
    await("the source is requested", () -> latestSocket != null);
  }

  private static String classSettings(String name, int millis) {
    return DynamicSettingsTest.requestClass(name, millis, "read_like");
  }

  private void sendSettings(String line) throws IOException {
    send(latestSocket, line.replace('\'', '"') + "\n");
  }

  /** Sends a snapshot of revision 3 with the classes a and b, and waits until it is applied. */
  private void sendSnapshot() throws Exception {
    sendSettings(
        "{'rev':3,'all':true,'ruleSets':["
            + classSettings("a", 900)
            + ","
            + classSettings("b", 900)
            + "]}");
    await("the snapshot is in force", () -> metric("settings_told") > 0);
    await("the proxy is ready", this::isReady);
  }

  private boolean isReady() {
    try {
      return call("GET /ready HTTP/1.1\r\n\r\n").startsWith("200");
    } catch (IOException e) {
      return false;
    }
  }

  private void awaitRequest(int count) throws InterruptedException {
    await(
        "request " + count + " at the source, got " + requestedTargets,
        () -> requestedTargets.size() >= count);
    await("the connection of request " + count + " is accepted", () -> latestSocket != null);
  }

  private void endWatch() throws IOException {
    Socket previousSocket = latestSocket;
    latestSocket = null;
    previousSocket.close();
  }

  private String statusFor(String className) throws IOException {
    return call(request(className)).substring(0, 3);
  }

  @Test
  void snapshotAndChangesAreApplied() throws Exception {
    startProxyWithSource("");
    sendSnapshot();
    assertEquals(List.of("/v1/settings?watch=1"), requestedTargets);
    assertEquals("200 404 404", statusFor("a") + " " + statusFor("c") + " " + statusFor("buy"));
    sendSettings(
        "{'rev':4,'after':3,'ruleSets':["
            + classSettings("c", 500)
            + ",{'name':'a','gone':true}]}");
    await("the change is in force", () -> metric("settings_told") == 2);
    assertEquals("404 200 200", statusFor("a") + " " + statusFor("b") + " " + statusFor("c"));
  }

  /**
   * Guards against timeouts that stay in force after the source has withdrawn them, which happens
   * if timeouts are applied only while the source names a limit: the source's idle timeout then
   * still closes a connection to a backend, although the file's 30 s apply again.
   */
  @Test
  void withdrawnTimeoutsRevertToThoseOfTheFile() throws Exception {
    startProxyWithSource("");
    sendSnapshot();
    sendSettings("{'rev':4,'after':3,'limits':{'idleClose':400000}}");
    await("the idle timeout is in force", () -> metric("settings_told") == 2);
    assertEquals("200", statusFor("a"));
    await("the idle connection is closed", () -> observations.contains("closed"));
    sendSettings("{'rev':5,'after':4,'limits':{'idleClose':null}}");
    await("the idle timeout is withdrawn", () -> metric("settings_told") == 3);
    observations.clear();
    assertEquals("200", statusFor("a"));
    Thread.sleep(1000);
    assertFalse(observations.contains("closed"), "connection closed by the withdrawn idle timeout");
  }

  /** A watch ends within a line: its settings stay in force, and a new watch resumes it. */
  @Test
  void watchThatEndsWithinALineIsResumed() throws Exception {
    startProxyWithSource("");
    sendSnapshot();
    send(latestSocket, "{\"rev\":4,\"after\":3,\"ruleSets\":[{\"name\":\"a\",\"go");
    endWatch();
    awaitRequest(2);
    assertEquals("/v1/settings?watch=1&after=3", requestedTargets.get(1));
    assertEquals("200", statusFor("a"));
    sendSettings("{'rev':4,'after':3,'ruleSets':[{'name':'a','gone':true}]}");
    await("the change is in force", () -> metric("settings_told") == 2);
    assertEquals("404", statusFor("a"));
  }

  /**
   * After changes that are out of order, old or from another source, the proxy requests a snapshot;
   * until it arrives, the settings stay in force.
   */
  @Test
  void changesOutOfOrderAreIgnored() throws Exception {
    startProxyWithSource("");
    sendSnapshot();
    int requests = 1;
    for (String revision :
        List.of("'rev':6,'after':5", "'rev':2,'after':3", "'rev':4,'after':3,'source':'x'")) {
      Socket previousSocket = latestSocket;
      latestSocket = null;
      send(
          previousSocket,
          ("{" + revision + ",'ruleSets':[" + classSettings("c", 500) + "]}").replace('\'', '"')
              + "\n");
      awaitRequest(++requests);
      assertEquals("/v1/settings?watch=1", requestedTargets.get(requests - 1));
      assertEquals("200 404", statusFor("a") + " " + statusFor("c"));
      sendSettings("{'rev':3,'all':true,'ruleSets':[" + classSettings("a", 900) + "]}");
      int settingsApplied = requests;
      await("the snapshot is in force", () -> metric("settings_told") == settingsApplied);
      assertEquals("200 404", statusFor("a") + " " + statusFor("b"));
    }
  }

  /**
   * Settings that are malformed, endless or too large are counted and rejected, and the current
   * ones stay in force.
   */
  @Test
  void malformedSettingsAreCountedAndRejected() throws Exception {
    startProxyWithSource("");
    sendSnapshot();
    sendSettings("{'rev':4,'after':3,'ruleSets':[{'name':'c','effect':'twice'}]}");
    await("the malformed settings are rejected", () -> metric("reloads_failed") == 1);
    sendSettings("no object");
    await("the malformed settings are rejected", () -> metric("reloads_failed") == 2);
    assertEquals("200 404", statusFor("a") + " " + statusFor("c"));
    Socket previousSocket = latestSocket;
    latestSocket = null;
    startThread(
        () ->
            previousSocket
                .getOutputStream()
                .write(("{\"rev\":4,\"x\":\"" + "x".repeat(OVERSIZED_BYTES)).getBytes()));
    awaitRequest(2);
    assertEquals("200", statusFor("b"));
    sendSettings("{'rev':5,'after':3,'ruleSets':[" + classSettings("c", 500) + "]}");
    await("the change is in force", () -> metric("settings_told") == 2);
    assertEquals("200", statusFor("c"));
  }

  /** A reload during a change: the file's limits and the source's classes are both applied. */
  @Test
  void reloadDuringAChangeAppliesBoth() throws Exception {
    startProxyWithSource("");
    sendSnapshot();
    Files.writeString(
        file, Files.readString(file).replace("\"maxDispatches\":3", "\"maxDispatches\":1"));
    LoopPause pause = pauseLoopAt("configuration read again");
    server.reload(file);
    pause.awaitReached();
    sendSettings("{'rev':4,'after':3,'ruleSets':[" + classSettings("c", 900) + "]}");
    Thread.sleep(50);
    pause.release();
    await(
        "the file and the change are both in force",
        () -> metric("settings_told") == 2 && metric("reloads_ok") == 1);
    assertEquals("200 200 404", statusFor("a") + " " + statusFor("c") + " " + statusFor("buy"));
    backends.enqueue(BackendAction.NOT_STARTED_503);
    assertEquals("503", statusFor("c")); // one attempt, by the limits of the reloaded file
  }

  /** A scope shrinks and grows; a request in flight outside the new scope keeps its settings. */
  @Test
  void scopeChangesWhileARequestIsInFlight() throws Exception {
    startProxyWithSource("x,y");
    assertEquals("/v1/settings?watch=1&scope=x,y", requestedTargets.get(0));
    sendSnapshot();
    assertTrue(observations.contains("/v1/endpoints?watch=1&scope=x,y"), observations.toString());
    backends.enqueue(BackendAction.SLOW_OK);
    try (Socket client = connect()) {
      send(client, request("b"));
      awaitFirstRequest();
      latestSocket = null;
      server.resubscribe((InetSocketAddress) source.getLocalSocketAddress(), "x");
      awaitRequest(2);
      assertEquals("/v1/settings?watch=1&scope=x", requestedTargets.get(1));
      sendSettings("{'rev':3,'all':true,'ruleSets':[" + classSettings("a", 900) + "]}");
      await("the smaller scope is in force", () -> metric("settings_told") == 2);
      assertEquals("404", statusFor("b"));
      assertEquals("200 slow", readAnswer(client));
    }
    latestSocket = null;
    server.resubscribe((InetSocketAddress) source.getLocalSocketAddress(), "x,y,z");
    awaitRequest(3);
    Socket previousSocket = latestSocket;
    latestSocket = null;
    send(
        previousSocket,
        ("{'rev':4,'after':3,'ruleSets':[" + classSettings("c", 900) + "]}\n").replace('\'', '"'));
    awaitRequest(4);
    sendSettings(
        "{'rev':4,'all':true,'ruleSets':["
            + classSettings("a", 900)
            + ","
            + classSettings("z", 900)
            + "]}");
    await("the larger scope is in force", () -> metric("settings_told") == 3);
    assertEquals("200 404 200", statusFor("a") + " " + statusFor("c") + " " + statusFor("z"));
  }

  /**
   * Started while its source is down, a proxy uses the settings of the file, and those of the
   * source within 8 s of its recovery.
   */
  @Test
  void startWithoutSourceUsesTheFile() throws Exception {
    ServerSocket freedListener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.44.1"));
    InetSocketAddress address = (InetSocketAddress) freedListener.getLocalSocketAddress();
    freedListener.close();
    endpointList.send(listLine(1, true, startBackend("s0")));
    run(
        new ProxyServer(
            new ProxyConfig(
                Json.object(
                    config(listen(endpointList::serve).getLocalPort())
                        .replace("\"drain_ms\"", "\"admin\":\"127.0.0.1:0\",\"drain_ms\""))),
            "",
            address,
            ""));
    await("the proxy is ready", this::isReady);
    assertEquals("200 404", statusFor("buy") + " " + statusFor("a"));
    Thread.sleep(SOURCE_OUTAGE_MILLIS);
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(address, BACKLOG);
    listeners.add(listener);
    long recoveredAt = System.nanoTime();
    startThread(
        () -> {
          Socket socket = listener.accept();
          readHead(socket.getInputStream());
          String settings = "{'rev':3,'all':true,'ruleSets':[" + classSettings("a", 900) + "]}\n";
          send(socket, HEAD + settings.replace('\'', '"'));
        });
    await("the settings of the source are in force", () -> metric("settings_told") == 1);
    long elapsedNanos = System.nanoTime() - recoveredAt;
    assertTrue(
        elapsedNanos < 8e9,
        "expected the settings within 8 s, got them after " + elapsedNanos + " ns");
    assertEquals("404 200", statusFor("buy") + " " + statusFor("a"));
  }

  /** Without a source no settings are requested, and the list is requested without a scope. */
  @Test
  void withoutSourceNoSettingsAreRequested() throws Exception {
    startProxyWithBackends(1);
    assertEquals("200", statusFor("buy"));
    assertEquals(List.of("/v1/endpoints?watch=1"), List.copyOf(observations));
    assertFalse(
        observations.stream().anyMatch(target -> target.contains("settings")),
        "settings requested: " + observations);
  }

  /**
   * While the endpoint list cannot be parsed, the proxy becomes ready only when the time that a
   * restart may take is nearly over.
   */
  @Test
  void unreadableListDelaysReadiness() throws Exception {
    ServerSocket discovery =
        listen(
            socket -> {
              readHead(socket.getInputStream());
              send(socket, HEAD + "{\"rev\":1,\"targets\":3}\n");
            });
    ProxyServer proxy =
        new ProxyServer(new ProxyConfig(Json.object(config(discovery.getLocalPort()))));
    long startedAt = System.nanoTime();
    run(proxy);
    Thread.sleep(4000);
    assertEquals("503 WARMING, no list", call("GET /ready HTTP/1.1\r\n\r\n").replace(" close", ""));
    while (!isReady()) {
      Thread.sleep(20);
    }
    double elapsedSeconds = (System.nanoTime() - startedAt) / 1e9;
    assertTrue(
        elapsedSeconds > 5.5 && elapsedSeconds < 9,
        "expected readiness after 5.5 to 9 s, got it after " + elapsedSeconds + " s");
    assertEquals("200 SERVING, no list", call("GET /ready HTTP/1.1\r\n\r\n").replace(" close", ""));
  }
}
