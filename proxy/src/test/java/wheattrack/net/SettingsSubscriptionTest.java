package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** A proxy that watches a source of settings, and the faults of that source. */
class SettingsSubscriptionTest extends RawConnection {
  private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";

  @TempDir Path folder;

  /** The request target of each call. */
  private final List<String> requestTargets = Collections.synchronizedList(new ArrayList<>());

  private volatile Socket latestConnection;
  private ServerSocket source;
  private Path configFile;

  private void serveWithSource(String scope) throws Exception {
    source =
        open(
            socket -> {
              requestTargets.add(head(socket.getInputStream()).split(" ")[1]);
              send(socket, HEAD);
              latestConnection = socket;
            });
    news.add(told(1, true, ready("s0")));
    String config =
        config(open(this::list).getLocalPort(), 1024, "{}")
            .replace("\"drain_ms\"", "\"admin\":\"127.0.0.1:0\",\"drain_ms\"");
    configFile = Files.writeString(folder.resolve("config.json"), config);
    server =
        new ProxyServer(
            new ProxyConfig(Json.object(config)),
            "",
            (InetSocketAddress) source.getLocalSocketAddress(),
            scope);
    port = server.port();
    running = start(server::run);
    until("the source is called", () -> latestConnection != null);
  }

  private static String requestClass(String name, int millis) {
    return DynamicSettingsTest.requestClass(name, millis, "read_like");
  }

  private void notifySubscriber(String event) throws IOException {
    send(latestConnection, event.replace('\'', '"') + "\n");
  }

  /** Puts a complete snapshot in force, of revision 3 with classes a and b. */
  private void sendSnapshot() throws Exception {
    notifySubscriber(
        "{'rev':3,'all':true,'ruleSets':["
            + requestClass("a", 900)
            + ","
            + requestClass("b", 900)
            + "]}");
    until("the whole is in force", () -> figure("settings_told") > 0);
    until("ready", this::isReady);
  }

  private boolean isReady() {
    try {
      return call("GET /ready HTTP/1.1\r\n\r\n").startsWith("200");
    } catch (IOException e) {
      return false;
    }
  }

  private void awaitCall(int number) throws InterruptedException {
    until("call " + number + " of " + requestTargets, () -> requestTargets.size() >= number);
    until("its connection", () -> latestConnection != null);
  }

  private void closeConnection() throws IOException {
    Socket previous = latestConnection;
    latestConnection = null;
    previous.close();
  }

  private String status(String requestClass) throws IOException {
    return call(request(requestClass)).substring(0, 3);
  }

  @Test
  void snapshotThenChanges() throws Exception {
    serveWithSource("");
    sendSnapshot();
    assertEquals(List.of("/v1/settings?watch=1"), requestTargets);
    assertEquals("200 404 404", status("a") + " " + status("c") + " " + status("buy"));
    notifySubscriber(
        "{'rev':4,'after':3,'ruleSets':[" + requestClass("c", 500) + ",{'name':'a','gone':true}]}");
    until("the change is in force", () -> figure("settings_told") == 2);
    assertEquals("404 200 200", status("a") + " " + status("b") + " " + status("c"));
  }

  /** The source ends within a line: settings in force stay, and later changes are asked for. */
  @Test
  void sourceEndsMidLine() throws Exception {
    serveWithSource("");
    sendSnapshot();
    send(latestConnection, "{\"rev\":4,\"after\":3,\"ruleSets\":[{\"name\":\"a\",\"go");
    closeConnection();
    awaitCall(2);
    assertEquals("/v1/settings?watch=1&after=3", requestTargets.get(1));
    assertEquals("200", status("a"));
    notifySubscriber("{'rev':4,'after':3,'ruleSets':[{'name':'a','gone':true}]}");
    until("the change is in force", () -> figure("settings_told") == 2);
    assertEquals("404", status("a"));
  }

  /**
   * A gap, a step back, another source: a snapshot is asked for, and until it comes the settings in
   * force stay.
   */
  @Test
  void gapAsksForSnapshot() throws Exception {
    serveWithSource("");
    sendSnapshot();
    int calls = 1;
    for (String revisionFields :
        List.of("'rev':6,'after':5", "'rev':2,'after':3", "'rev':4,'after':3,'source':'x'")) {
      Socket previous = latestConnection;
      latestConnection = null;
      send(
          previous,
          ("{" + revisionFields + ",'ruleSets':[" + requestClass("c", 500) + "]}")
                  .replace('\'', '"')
              + "\n");
      awaitCall(++calls);
      assertEquals("/v1/settings?watch=1", requestTargets.get(calls - 1));
      assertEquals("200 404", status("a") + " " + status("c"));
      notifySubscriber("{'rev':3,'all':true,'ruleSets':[" + requestClass("a", 900) + "]}");
      int snapshots = calls;
      until("the whole is in force", () -> figure("settings_told") == snapshots);
      assertEquals("200 404", status("a") + " " + status("b"));
    }
  }

  /** Malformed and endless events are counted, and the settings in force stay. */
  @Test
  void malformedEventsAreCounted() throws Exception {
    serveWithSource("");
    sendSnapshot();
    notifySubscriber("{'rev':4,'after':3,'ruleSets':[{'name':'c','effect':'twice'}]}");
    until("it is turned down", () -> figure("reloads_failed") == 1);
    notifySubscriber("no object");
    until("it is turned down", () -> figure("reloads_failed") == 2);
    assertEquals("200 404", status("a") + " " + status("c"));
    Socket previous = latestConnection;
    latestConnection = null;
    start(
        () ->
            previous
                .getOutputStream()
                .write(("{\"rev\":4,\"x\":\"" + "x".repeat(5 << 20)).getBytes()));
    awaitCall(2);
    assertEquals("200", status("b"));
    notifySubscriber("{'rev':5,'after':3,'ruleSets':[" + requestClass("c", 500) + "]}");
    until("the change is in force", () -> figure("settings_told") == 2);
    assertEquals("200", status("c"));
  }

  /**
   * SIGHUP while the loop stands still within a change: the file's limits are in force, the
   * source's classes stay.
   */
  @Test
  void reloadDuringSettingsChange() throws Exception {
    serveWithSource("");
    sendSnapshot();
    Files.writeString(
        configFile,
        Files.readString(configFile).replace("\"maxDispatches\":3", "\"maxDispatches\":1"));
    Standstill standstill = standstill("configuration read again");
    server.reload(configFile);
    standstill.reached();
    notifySubscriber("{'rev':4,'after':3,'ruleSets':[" + requestClass("c", 900) + "]}");
    Thread.sleep(50);
    standstill.go();
    until("both are in force", () -> figure("settings_told") == 2 && figure("reloads_ok") == 1);
    assertEquals("200 200 404", status("a") + " " + status("c") + " " + status("buy"));
    script.add("full");
    assertEquals("503", status("c")); // one attempt, as the file has it now
  }

  /**
   * A scope shrinks and grows while a request of a lost class is in flight: the request keeps its
   * class.
   */
  @Test
  void scopeShrinksAndGrows() throws Exception {
    serveWithSource("x,y");
    assertEquals("/v1/settings?watch=1&scope=x,y", requestTargets.get(0));
    sendSnapshot();
    assertTrue(seen.contains("/v1/endpoints?watch=1&scope=x,y"), seen.toString());
    script.add("slow");
    try (Socket client = connect()) {
      send(client, request("b"));
      untilOneCame();
      latestConnection = null;
      server.resubscribe((InetSocketAddress) source.getLocalSocketAddress(), "x");
      awaitCall(2);
      assertEquals("/v1/settings?watch=1&scope=x", requestTargets.get(1));
      notifySubscriber("{'rev':3,'all':true,'ruleSets':[" + requestClass("a", 900) + "]}");
      until("the smaller scope is in force", () -> figure("settings_told") == 2);
      assertEquals("404", status("b"));
      assertEquals("200 slow", answer(client));
    }
    latestConnection = null;
    server.resubscribe((InetSocketAddress) source.getLocalSocketAddress(), "x,y,z");
    awaitCall(3);
    Socket previous = latestConnection;
    latestConnection = null;
    send(
        previous,
        ("{'rev':4,'after':3,'ruleSets':[" + requestClass("c", 900) + "]}\n").replace('\'', '"'));
    awaitCall(4);
    notifySubscriber(
        "{'rev':4,'all':true,'ruleSets':["
            + requestClass("a", 900)
            + ","
            + requestClass("z", 900)
            + "]}");
    until("the greater scope is in force", () -> figure("settings_told") == 3);
    assertEquals("200 404 200", status("a") + " " + status("c") + " " + status("z"));
  }

  /**
   * Started while the source is down: serves by the file's settings, and by the source's within 8 s
   * of its recovery.
   */
  @Test
  void startsWithoutSource() throws Exception {
    ServerSocket reservedSocket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.44.1"));
    InetSocketAddress sourceAddress = (InetSocketAddress) reservedSocket.getLocalSocketAddress();
    reservedSocket.close();
    news.add(told(1, true, ready("s0")));
    server =
        new ProxyServer(
            new ProxyConfig(
                Json.object(
                    config(open(this::list).getLocalPort(), 1024, "{}")
                        .replace("\"drain_ms\"", "\"admin\":\"127.0.0.1:0\",\"drain_ms\""))),
            "",
            sourceAddress,
            "");
    port = server.port();
    running = start(server::run);
    until("ready", this::isReady);
    assertEquals("200 404", status("buy") + " " + status("a"));
    Thread.sleep(2500);
    ServerSocket returnedSource = new ServerSocket();
    returnedSource.setReuseAddress(true);
    returnedSource.bind(sourceAddress, BACKLOG);
    doors.add(returnedSource);
    long startNanos = System.nanoTime();
    start(
        () -> {
          Socket socket = returnedSource.accept();
          head(socket.getInputStream());
          String snapshot = "{'rev':3,'all':true,'ruleSets':[" + requestClass("a", 900) + "]}\n";
          send(socket, HEAD + snapshot.replace('\'', '"'));
        });
    until("in force", () -> figure("settings_told") == 1);
    assertTrue(System.nanoTime() - startNanos < 8e9);
    assertEquals("404 200", status("buy") + " " + status("a"));
  }

  /** Without a source nothing is asked for, and no scope goes with requests for the list. */
  @Test
  void noSourceNoSubscription() throws Exception {
    serveBy(1);
    assertEquals("200", status("buy"));
    assertEquals(List.of("/v1/endpoints?watch=1"), List.copyOf(seen));
    assertFalse(seen.stream().anyMatch(target -> target.contains("settings")));
  }

  /**
   * Discovery answers and its list can't be read: the proxy is not ready until the time that a
   * restart may take is nearly over.
   */
  @Test
  void unreadableListDelaysReadiness() throws Exception {
    ServerSocket discovery =
        open(
            socket -> {
              head(socket.getInputStream());
              send(socket, HEAD + "{\"rev\":1,\"targets\":3}\n");
            });
    server =
        new ProxyServer(new ProxyConfig(Json.object(config(discovery.getLocalPort(), 1024, "{}"))));
    port = server.port();
    long startNanos = System.nanoTime();
    running = start(server::run);
    Thread.sleep(4000);
    assertEquals("503 WARMING, no list", call("GET /ready HTTP/1.1\r\n\r\n").replace(" close", ""));
    while (!isReady()) {
      Thread.sleep(20);
    }
    double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
    assertTrue(elapsedSeconds > 5.5 && elapsedSeconds < 9, "ready after " + elapsedSeconds + " s");
    assertEquals("200 SERVING, no list", call("GET /ready HTTP/1.1\r\n\r\n").replace(" close", ""));
  }
}
