package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/**
 * Pairs of concurrent events, each pair forced: one event is held back until the other has been
 * seen to happen.
 */
class ConcurrentEventsTest extends RawConnection {
  @TempDir Path folder;

  private ServerSocket firstBackend;
  private ServerSocket secondBackend;
  private String config;

  /** Serves with one backend listed, s0 at the first socket; s1 at the second one is not listed. */
  private void serveOneBackend(String... changes) throws Exception {
    firstBackend = door(BACKLOG);
    secondBackend = door(BACKLOG);
    config = configFor(entry("s0", "SERVING", firstBackend.getLocalPort()));
    for (int i = 0; i < changes.length; i += 2) {
      assertTrue(config.contains(changes[i]), changes[i]);
      config = config.replace(changes[i], changes[i + 1]);
    }
    serve(config, "");
  }

  private static Socket sendAndReturn(Socket client, String text) throws IOException {
    send(client, text);
    return client;
  }

  /** The file is read again; the loop then stands still in the midst of it. */
  private Standstill blockLoopInReload(String text) throws Exception {
    Path file = Files.writeString(folder.resolve("config.json"), text);
    Standstill standstill = standstill("configuration read again");
    server.reload(file);
    standstill.reached();
    return standstill;
  }

  // ---- connections to backends

  /** A spoilt second answer, some milliseconds late, was taken for the answer to the next req. */
  @Test
  void secondResponseIsNotForNextRequest() throws Exception {
    serveOneBackend("\"dialTimeout\":250000", "\"dialTimeout\":20000000");
    try (Socket client = connect()) {
      send(client, request("buy"));
      Socket first = take(firstBackend);
      read(first);
      answer(first, "200", "", "its own");
      assertEquals("200 its own", answer(client));
      String next = request("buy");
      send(client, next);
      until("in flight", () -> figure("in_flight") == 1); // on the first, without a pause
      answer(first, "200", "", "spoilt");
      Socket second = take(firstBackend);
      assertEquals(id(next), read(second));
      assertEquals("end", read(first));
      answer(second, "200", "", "its own, too");
      assertEquals("200 its own, too", answer(client));
    }
  }

  /**
   * An idle connection that its backend has ended, in either order with the req that came for it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void idleConnectionEndsAsRequestComes(boolean endFirst) throws Exception {
    serveOneBackend();
    try (Socket client = connect()) {
      send(client, request("pay"));
      Socket first = take(firstBackend);
      read(first);
      answer(first, "200", "", "one");
      assertEquals("200 one", answer(client));
      Thread.sleep(50); // it settles
      Standstill still = blockLoopInReload(config);
      String next = request("pay");
      if (endFirst) {
        first.close();
      }
      send(client, next);
      Thread.sleep(50); // so that both lie there, the req first
      first.close();
      Thread.sleep(50);
      still.go();
      Socket second = take(firstBackend);
      assertEquals(id(next), read(second));
      answer(second, "200", "", "two");
      assertEquals("200 two", answer(client));
    }
  }

  /**
   * SIGHUP with a shorter time for idle connections: what rested longer already took one more req.
   */
  @Test
  void idleTimeoutShortened() throws Exception {
    serveOneBackend();
    call(answeredOnHeldConnection(request("buy")));
    Socket first = heldConnection;
    Thread.sleep(100);
    Path file =
        Files.writeString(
            folder.resolve("config.json"),
            config.replace("\"idleClose\":30000000", "\"idleClose\":50000"));
    server.reload(file);
    assertEquals("end", read(first));
    assertEquals("200 played", call(answeredOnHeldConnection(request("buy"))));
    assertNotEquals(first, heldConnection);
  }

  private Socket heldConnection;

  /** The request, whose backend answers it on a connection that is held on to. */
  private String answeredOnHeldConnection(String text) {
    start(
        () -> {
          heldConnection = take(firstBackend);
          read(heldConnection);
          answer(heldConnection, "200", "", "played");
        });
    return text;
  }

  /**
   * A backend that moves, or restarts, while one of its connections is busy: that one served on.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void backendMovesWhileConnectionIsBusy(boolean restarts) throws Exception {
    serveOneBackend();
    try (Socket client = connect()) {
      send(client, request("buy"));
      Socket first = take(firstBackend);
      read(first);
      String entry =
          entry("s0", "SERVING", (restarts ? firstBackend : secondBackend).getLocalPort());
      if (restarts) {
        Thread.sleep(5); // the connection is of an earlier millisecond
        entry = entry.replace("}", ",'boot_ms':" + System.currentTimeMillis() + "}");
      }
      news.add(told(2, false, entry, entry("s1", "DRAINING", secondBackend.getLocalPort())));
      until("heard", () -> figure("backends_known") == 2);
      answer(first, "200", "", "old");
      assertEquals("200 old", answer(client));
      assertEquals("end", read(first));
      play(restarts ? firstBackend : secondBackend);
      for (String next = ""; !next.equals("200 played"); next = call(client, request("buy"))) {
        assertTrue(next.isEmpty() || next.startsWith("503"), next); // just started: not at once
      }
    }
  }

  /** A backend that moves while a connection to it comes up: what waits goes to where it is now. */
  @Test
  void backendMovesWhileConnecting() throws Exception {
    firstBackend = door(1);
    secondBackend = door(BACKLOG);
    config =
        configFor(entry("s0", "SERVING", firstBackend.getLocalPort()))
            .replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000");
    serve(config, "");
    fill(firstBackend);
    try (Socket client = connect()) {
      send(client, request("pay"));
      until("in flight", () -> figure("in_flight") == 1);
      news.add(told(2, false, entry("s0", "SERVING", secondBackend.getLocalPort())));
      Socket now = take(secondBackend);
      read(now);
      answer(now, "200", "", "moved");
      assertEquals("200 moved", answer(client));
    }
  }

  /**
   * A backend that drains while a connection to it comes up, and one listed again before that is
   * up.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void backendDrainsWhileConnecting(boolean listedAgain) throws Exception {
    firstBackend = door(1);
    String entry = entry("s0", "SERVING", firstBackend.getLocalPort());
    serve(configFor(entry).replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000"), "");
    fill(firstBackend);
    try (Socket client = connect()) {
      String text = request("pay");
      send(client, text);
      until("in flight", () -> figure("in_flight") == 1);
      news.add(told(2, false, entry.replace("SERVING", "DRAINING")));
      assertEquals("503", answer(client).substring(0, 3));
      if (listedAgain) {
        news.add(told(3, false, entry));
      }
      play(firstBackend);
      String after = request("buy");
      while (listedAgain && !call(after).equals("200 played")) {
        after = request("buy");
      }
      assertFalse(had.contains(id(text)), had + " after " + id(text));
    }
  }

  /** Spoilt answers: bytes behind one, and interim ones without end; none is for the next req. */
  @Test
  void malformedResponses() throws Exception {
    serveOneBackend("\"dialTimeout\":250000", "\"dialTimeout\":20000");
    try (Socket client = connect()) {
      send(client, request("buy"));
      Socket first = take(firstBackend);
      read(first);
      String own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
      send(first, own + own.replace("own", "bad"));
      assertEquals("200 own", answer(client));
      assertEquals("end", read(first).replace("reset", "end"));
      send(client, request("pay"));
      Socket second = take(firstBackend);
      read(second);
      start(
          () -> {
            while (true) {
              send(second, "HTTP/1.1 102 Processing\r\n\r\n".repeat(50));
            }
          });
      assertEquals("50", answer(client).substring(0, 2));
      play(firstBackend);
      for (String next = ""; !next.equals("200 played"); next = call(client, request("buy"))) {
        assertTrue(next.isEmpty() || next.startsWith("503"), next); // it counts as silent
      }
    }
  }

  /** Standstill past a req's due while its connection comes up: nothing is sent for it after. */
  @Test
  void deadlinePassesWhileConnecting() throws Exception {
    firstBackend = door(1);
    config =
        configFor(entry("s0", "SERVING", firstBackend.getLocalPort()))
            .replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000");
    serve(config, "");
    fill(firstBackend);
    try (Socket client = connect()) {
      String text = request("pay");
      send(client, text);
      until("in flight", () -> figure("in_flight") == 1);
      Standstill still = blockLoopInReload(config);
      play(firstBackend); // its SYN comes again a second after the first
      Thread.sleep(2000);
      still.go();
      assertTrue(answer(client).startsWith("50"));
      String after = request("buy");
      while (!call(after).equals("200 played")) {
        after = request("buy");
      }
      assertFalse(had.contains(id(text)), had + " after " + id(text));
    }
  }

  /** The same id again after its client's connection broke: no second dispatch beside the first. */
  @Test
  void sameIdAfterDisconnect() throws Exception {
    serveOneBackend("\"mayCancel\":true", "\"mayCancel\":false");
    String text = request("pay");
    Socket client = connect();
    send(client, text);
    Socket first = take(firstBackend);
    assertEquals(id(text), read(first));
    client.close();
    until("the client is seen to leave", () -> figure("in_flight") == 0);
    assertEquals("409 a req of this id is open", call(text));
    assertEquals(1, figure("attempts"));
    answer(first, "200", "", "late");
  }

  /**
   * A client that has left before its req is heard: the process stood still, or had not let it in
   * yet.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void disconnectBeforeRequestIsHandled(boolean reset) throws Exception {
    serveOneBackend();
    play(firstBackend);
    call(request("buy"));
    Standstill still = blockLoopInReload(config);
    Socket client = connect();
    String text = request("buy");
    send(client, text);
    if (reset) {
      client.setSoLinger(true, 0);
    }
    client.close();
    still.go();
    String after = request("buy");
    assertEquals("200 played", call(after));
    assertFalse(had.contains(id(text)), had + " after " + id(text));
  }

  /**
   * A client that leaves amid its long body: its backend was kept waiting for the rest for 10 s.
   */
  @Test
  void disconnectWithinBody() throws Exception {
    serveOneBackend("\"mayCancel\":true", "\"mayCancel\":false");
    Socket client = connect();
    send(
        client,
        request("pay").replace("Content-Length: 2\r\n\r\nhi", "Content-Length: 200000\r\n\r\n"));
    client.getOutputStream().write(new byte[50_000]);
    Socket first = take(firstBackend);
    head(first.getInputStream());
    first.getInputStream().readNBytes(40_000);
    client.close();
    assertTrue(first.getInputStream().readAllBytes().length < 20_000);
    assertEquals(0, figure("attempts"));
  }

  // ---- shutdown

  /** SIGTERM while clients stand in the accept queue with what they ask: they were reset. */
  @Test
  void shutdownWithFullAcceptQueue() throws Exception {
    serveOneBackend("\"drain_ms\":1000", "\"drain_ms\":0");
    play(firstBackend);
    Standstill still = blockLoopInReload(config);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      clients.add(sendAndReturn(connect(), request("buy")));
    }
    start(server::shutdown);
    Thread.sleep(50); // either order holds: the end stands behind in the queue
    still.go();
    for (Socket client : clients) {
      assertTrue(answer(client).matches("(200|503).*"));
      client.close();
    }
  }

  /** SIGTERM before there is a list: who has connected by then is denied, not reset. */
  @Test
  void shutdownBeforeReady() throws Exception {
    server =
        new ProxyServer(
            new ProxyConfig(Json.object(config(open(this::list).getLocalPort(), 1024, "{}"))));
    port = server.port();
    running = start(server::run);
    try (Socket client = connect()) {
      send(client, request("buy"));
      start(server::shutdown);
      assertTrue(answer(client).startsWith("503"));
    }
  }

  /** A connection closed as idle at the end, with a req that has come and is not heard yet. */
  @Test
  void shutdownWithRequestOnIdleConnection() throws Exception {
    serveOneBackend("\"drain_ms\":1000", "\"drain_ms\":0");
    play(firstBackend);
    try (Socket client = connect()) {
      assertEquals("200 played", call(client, request("buy")));
      Standstill still = standstill("CLOSING");
      start(server::shutdown);
      still.reached();
      send(client, request("buy"));
      Thread.sleep(100); // the channel has read it, the loop has not
      still.go();
      assertEquals("200 played close", answer(client));
    }
  }

  /**
   * A req that comes whole only when the end is near: it has its answer before the process has
   * ended.
   */
  @Test
  void lateRequestAtShutdown() throws Exception {
    serveOneBackend(
        "\"drain_ms\":1000",
        "\"drain_ms\":0",
        "\"responseTarget\":1000000",
        "\"responseTarget\":1500000");
    try (Socket client = connect()) {
      String text = request("pay");
      send(client, text.substring(0, 30));
      Thread.sleep(50);
      start(server::shutdown);
      until(
          "closing",
          () -> {
            try {
              connect().close();
              return false;
            } catch (IOException refused) {
              return true;
            }
          });
      Thread.sleep(500);
      send(client, text.substring(30));
      Socket hangs = take(firstBackend);
      read(hangs);
      assertTrue(answer(client).matches("50[24].*"));
    }
  }

  /** SIGHUP, and SIGTERM again, while it ends: what is open has its answer, and it ends once. */
  @Test
  void signalsDuringShutdown() throws Exception {
    serveOneBackend("\"drain_ms\":1000", "\"drain_ms\":0");
    try (Socket client = connect()) {
      send(client, request("pay"));
      Socket held = take(firstBackend);
      read(held);
      Standstill still = standstill("CLOSING");
      Thread ends = start(server::shutdown);
      Thread again = start(server::shutdown);
      still.reached();
      server.reload(Files.writeString(folder.resolve("config.json"), config));
      still.go();
      until("read again", () -> figure("reloads_ok") == 1);
      answer(held, "200", "", "answered");
      assertEquals("200 answered close", answer(client));
      ends.join(SOON);
      again.join(SOON);
      running.join(SOON);
      assertFalse(running.isAlive() || ends.isAlive() || again.isAlive());
    }
  }

  /** Zones in another order after SIGHUP: the own one was taken for another. */
  @Test
  void zonesReordered() throws Exception {
    serveOneBackend(
        "{\"balancers\"",
        "{\"prices\":{\"crossZone\":1},\"zone\":0,\"balancers\"",
        "[\"a\"]",
        "[\"a\",\"b\"]");
    news.add(
        told(
            2,
            false,
            entry("s1", "SERVING", secondBackend.getLocalPort()).replace("'az':'a'", "'az':'b'")));
    until("heard", () -> figure("backends_known") == 2);
    server.reload(
        Files.writeString(
            folder.resolve("config.json"),
            config.replace("[\"a\",\"b\"]", "[\"b\",\"a\"]").replace("\"zone\":0", "\"zone\":1")));
    until("read again", () -> figure("reloads_ok") == 1);
    play(firstBackend);
    assertEquals("200 played", call(request("buy")));
    secondBackend.setSoTimeout(1);
    assertThrows(SocketTimeoutException.class, () -> secondBackend.accept());
  }
}
