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

/**
 * A proxy whose settings are told by a source that it watches, and all that can go wrong with that.
 */
class SettingsSubscriptionTest extends RawConnection {
  private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";

  @TempDir Path folder;

  /** What each call asked for, and the connection of the latest. */
  private final List<String> asked = Collections.synchronizedList(new ArrayList<>());

  private volatile Socket latest;
  private ServerSocket source;
  private Path file;

  private void serveWatching(String scope) throws Exception {
    source =
        open(
            socket -> {
              asked.add(head(socket.getInputStream()).split(" ")[1]);
              send(socket, HEAD);
              latest = socket;
            });
    news.add(told(1, true, ready("s0")));
    String config =
        config(open(this::list).getLocalPort(), 1024, "{}")
            .replace("\"drain_ms\"", "\"admin\":\"127.0.0.1:0\",\"drain_ms\"");
    file = Files.writeString(folder.resolve("config.json"), config);
    server =
        new ProxyServer(
            new ProxyConfig(Json.object(config)),
            "",
            (InetSocketAddress) source.getLocalSocketAddress(),
            scope);
    port = server.port();
    running = start(server::run);
    until("the source is called", () -> latest != null);
  }

  private static String set(String name, int millis) {
    return DynamicSettingsTest.requestClass(name, millis, "read_like");
  }

  private void tell(String news) throws IOException {
    send(latest, news.replace('\'', '"') + "\n");
  }

  /** The whole of revision 3 holds: sets a and b. */
  private void whole() throws Exception {
    tell("{'rev':3,'all':true,'ruleSets':[" + set("a", 900) + "," + set("b", 900) + "]}");
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
    until("call " + number + " of " + asked, () -> asked.size() >= number);
    until("its connection", () -> latest != null);
  }

  private void ends() throws IOException {
    Socket was = latest;
    latest = null;
    was.close();
  }

  private String status(String set) throws IOException {
    return call(request(set)).substring(0, 3);
  }

  @Test
  void wholeThenChanges() throws Exception {
    serveWatching("");
    whole();
    assertEquals(List.of("/v1/settings?watch=1"), asked);
    assertEquals("200 404 404", status("a") + " " + status("c") + " " + status("buy"));
    tell("{'rev':4,'after':3,'ruleSets':[" + set("c", 500) + ",{'name':'a','gone':true}]}");
    until("the change is in force", () -> figure("settings_told") == 2);
    assertEquals("404 200 200", status("a") + " " + status("b") + " " + status("c"));
  }

  /** Its source ends amid a line: what holds goes on, and what came since is asked for. */
  @Test
  void endsAmidLine() throws Exception {
    serveWatching("");
    whole();
    send(latest, "{\"rev\":4,\"after\":3,\"ruleSets\":[{\"name\":\"a\",\"go");
    ends();
    awaitCall(2);
    assertEquals("/v1/settings?watch=1&after=3", asked.get(1));
    assertEquals("200", status("a"));
    tell("{'rev':4,'after':3,'ruleSets':[{'name':'a','gone':true}]}");
    until("the change is in force", () -> figure("settings_told") == 2);
    assertEquals("404", status("a"));
  }

  /**
   * Out of order, back, of another source: the whole is asked for, and until it comes the old
   * holds.
   */
  @Test
  void whatDoesNotFollow() throws Exception {
    serveWatching("");
    whole();
    int calls = 1;
    for (String how :
        List.of("'rev':6,'after':5", "'rev':2,'after':3", "'rev':4,'after':3,'source':'x'")) {
      Socket was = latest;
      latest = null;
      send(was, ("{" + how + ",'ruleSets':[" + set("c", 500) + "]}").replace('\'', '"') + "\n");
      awaitCall(++calls);
      assertEquals("/v1/settings?watch=1", asked.get(calls - 1));
      assertEquals("200 404", status("a") + " " + status("c"));
      tell("{'rev':3,'all':true,'ruleSets':[" + set("a", 900) + "]}");
      int told = calls;
      until("the whole is in force", () -> figure("settings_told") == told);
      assertEquals("200 404", status("a") + " " + status("b"));
    }
  }

  /** What is broken, endless or over a bound is one count, and what holds goes on. */
  @Test
  void brokenNews() throws Exception {
    serveWatching("");
    whole();
    tell("{'rev':4,'after':3,'ruleSets':[{'name':'c','effect':'twice'}]}");
    until("it is turned down", () -> figure("reloads_failed") == 1);
    tell("no object");
    until("it is turned down", () -> figure("reloads_failed") == 2);
    assertEquals("200 404", status("a") + " " + status("c"));
    Socket was = latest;
    latest = null;
    start(
        () ->
            was.getOutputStream().write(("{\"rev\":4,\"x\":\"" + "x".repeat(5 << 20)).getBytes()));
    awaitCall(2);
    assertEquals("200", status("b"));
    tell("{'rev':5,'after':3,'ruleSets':[" + set("c", 500) + "]}");
    until("the change is in force", () -> figure("settings_told") == 2);
    assertEquals("200", status("c"));
  }

  /**
   * SIGHUP while the loop stands amid a change: the file's limits hold, the source's rule sets
   * stay.
   */
  @Test
  void hangupAmidChange() throws Exception {
    serveWatching("");
    whole();
    Files.writeString(
        file, Files.readString(file).replace("\"maxDispatches\":3", "\"maxDispatches\":1"));
    Standstill still = standstill("configuration read again");
    server.reread(file);
    still.reached();
    tell("{'rev':4,'after':3,'ruleSets':[" + set("c", 900) + "]}");
    Thread.sleep(50);
    still.go();
    until("both are in force", () -> figure("settings_told") == 2 && figure("reloads_ok") == 1);
    assertEquals("200 200 404", status("a") + " " + status("c") + " " + status("buy"));
    script.add("full");
    assertEquals("503", status("c")); // one dispatch, as the file has it now
  }

  /**
   * A scope that shrinks and grows, a request under way in what it loses: it keeps what it came
   * under.
   */
  @Test
  void scopeChanges() throws Exception {
    serveWatching("x,y");
    assertEquals("/v1/settings?watch=1&scope=x,y", asked.get(0));
    whole();
    assertTrue(seen.contains("/v1/endpoints?watch=1&scope=x,y"), seen.toString());
    script.add("slow");
    try (Socket client = connect()) {
      send(client, request("b"));
      untilOneCame();
      latest = null;
      server.resubscribe((InetSocketAddress) source.getLocalSocketAddress(), "x");
      awaitCall(2);
      assertEquals("/v1/settings?watch=1&scope=x", asked.get(1));
      tell("{'rev':3,'all':true,'ruleSets':[" + set("a", 900) + "]}");
      until("the smaller scope is in force", () -> figure("settings_told") == 2);
      assertEquals("404", status("b"));
      assertEquals("200 slow", answer(client));
    }
    latest = null;
    server.resubscribe((InetSocketAddress) source.getLocalSocketAddress(), "x,y,z");
    awaitCall(3);
    Socket was = latest;
    latest = null;
    send(was, ("{'rev':4,'after':3,'ruleSets':[" + set("c", 900) + "]}\n").replace('\'', '"'));
    awaitCall(4);
    tell("{'rev':4,'all':true,'ruleSets':[" + set("a", 900) + "," + set("z", 900) + "]}");
    until("the greater scope is in force", () -> figure("settings_told") == 3);
    assertEquals("200 404 200", status("a") + " " + status("c") + " " + status("z"));
  }

  /**
   * Started while the source is away: by the file's settings, by the source's within 8 s of its
   * return.
   */
  @Test
  void startsWithoutSource() throws Exception {
    ServerSocket away = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.44.1"));
    InetSocketAddress at = (InetSocketAddress) away.getLocalSocketAddress();
    away.close();
    news.add(told(1, true, ready("s0")));
    server =
        new ProxyServer(
            new ProxyConfig(
                Json.object(
                    config(open(this::list).getLocalPort(), 1024, "{}")
                        .replace("\"drain_ms\"", "\"admin\":\"127.0.0.1:0\",\"drain_ms\""))),
            "",
            at,
            "");
    port = server.port();
    running = start(server::run);
    until("ready", this::isReady);
    assertEquals("200 404", status("buy") + " " + status("a"));
    Thread.sleep(2500);
    ServerSocket back = new ServerSocket();
    back.setReuseAddress(true);
    back.bind(at, BACKLOG);
    doors.add(back);
    long from = System.nanoTime();
    start(
        () -> {
          Socket one = back.accept();
          head(one.getInputStream());
          String told = "{'rev':3,'all':true,'ruleSets':[" + set("a", 900) + "]}\n";
          send(one, HEAD + told.replace('\'', '"'));
        });
    until("in force", () -> figure("settings_told") == 1);
    assertTrue(System.nanoTime() - from < 8e9);
    assertEquals("404 200", status("buy") + " " + status("a"));
  }

  /** Without a source nothing is asked for, and no scope goes with the list. */
  @Test
  void off() throws Exception {
    serveBy(1);
    assertEquals("200", status("buy"));
    assertEquals(List.of("/v1/endpoints?watch=1"), List.copyOf(seen));
    assertFalse(seen.stream().anyMatch(target -> target.contains("settings")));
  }

  /**
   * Discovery answers, and its list can't be read: not ready, until a restart's time is nearly
   * over.
   */
  @Test
  void listThatCantBeRead() throws Exception {
    ServerSocket discovery =
        open(
            socket -> {
              head(socket.getInputStream());
              send(socket, HEAD + "{\"rev\":1,\"targets\":3}\n");
            });
    server =
        new ProxyServer(new ProxyConfig(Json.object(config(discovery.getLocalPort(), 1024, "{}"))));
    port = server.port();
    long from = System.nanoTime();
    running = start(server::run);
    Thread.sleep(4000);
    assertEquals("503 WARMING, no list", call("GET /ready HTTP/1.1\r\n\r\n").replace(" close", ""));
    while (!isReady()) {
      Thread.sleep(20);
    }
    double took = (System.nanoTime() - from) / 1e9;
    assertTrue(took > 5.5 && took < 9, "ready after " + took + " s");
    assertEquals("200 SERVING, no list", call("GET /ready HTTP/1.1\r\n\r\n").replace(" close", ""));
  }
}
