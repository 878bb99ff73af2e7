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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/**
 * Two events that cross, each pair forced: what is held is let go once the other has been seen to
 * happen.
 */
class ConcurrentEventsTest extends RawConnection {
  @TempDir Path folder;

  private ServerSocket a, b;
  private String config;

  /** One backend, s0, at door a; s1 at door b is not listed. */
  private void serveOne(String... changes) throws Exception {
    a = door(BACKLOG);
    b = door(BACKLOG);
    config = configFor(entry("s0", "SERVING", a.getLocalPort()));
    for (int i = 0; i < changes.length; i += 2) {
      assertTrue(config.contains(changes[i]), changes[i]);
      config = config.replace(changes[i], changes[i + 1]);
    }
    serve(config, "");
  }

  private static Socket ask(Socket client, String text) throws IOException {
    send(client, text);
    return client;
  }

  /** The file is read again; the loop then stands still in the midst of it. */
  private Standstill standStill(String text) throws Exception {
    Path file = Files.writeString(folder.resolve("config.json"), text);
    Standstill still = standstill("configuration read again");
    server.reload(file);
    still.reached();
    return still;
  }

  // ---- connections to backends

  /** A spoilt second answer, some milliseconds late, was taken for the answer to the next req. */
  @Test
  void secondAnswer() throws Exception {
    serveOne("\"dialTimeout\":250000", "\"dialTimeout\":20000000");
    try (Socket client = connect()) {
      send(client, request("buy"));
      Socket first = take(a);
      read(first);
      answer(first, "200", "", "its own");
      assertEquals("200 its own", answer(client));
      String next = request("buy");
      send(client, next);
      until("in flight", () -> figure("in_flight") == 1); // on the first, without a pause
      answer(first, "200", "", "spoilt");
      Socket second = take(a);
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
  void endOfIdle(boolean endFirst) throws Exception {
    serveOne();
    try (Socket client = connect()) {
      send(client, request("pay"));
      Socket first = take(a);
      read(first);
      answer(first, "200", "", "one");
      assertEquals("200 one", answer(client));
      Thread.sleep(50); // it settles
      Standstill still = standStill(config);
      String next = request("pay");
      if (endFirst) {
        first.close();
      }
      send(client, next);
      Thread.sleep(50); // so that both lie there, the req first
      first.close();
      Thread.sleep(50);
      still.go();
      Socket second = take(a);
      assertEquals(id(next), read(second));
      answer(second, "200", "", "two");
      assertEquals("200 two", answer(client));
    }
  }

  /**
   * SIGHUP with a shorter time for idle connections: what rested longer already took one more req.
   */
  @Test
  void idleTimeShortened() throws Exception {
    serveOne();
    call(played(request("buy")));
    Socket first = held;
    Thread.sleep(100);
    Path file =
        Files.writeString(
            folder.resolve("config.json"),
            config.replace("\"idleClose\":30000000", "\"idleClose\":50000"));
    server.reload(file);
    assertEquals("end", read(first));
    assertEquals("200 played", call(played(request("buy"))));
    assertNotEquals(first, held);
  }

  private Socket held;

  /** The request, whose backend answers it on a connection that is held on to. */
  private String played(String text) {
    start(
        () -> {
          held = take(a);
          read(held);
          answer(held, "200", "", "played");
        });
    return text;
  }

  /**
   * A backend that moves, or restarts, while one of its connections is busy: that one served on.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void movesWhileBusy(boolean restarts) throws Exception {
    serveOne();
    try (Socket client = connect()) {
      send(client, request("buy"));
      Socket first = take(a);
      read(first);
      String entry = entry("s0", "SERVING", (restarts ? a : b).getLocalPort());
      if (restarts) {
        Thread.sleep(5); // the connection is of an earlier millisecond
        entry = entry.replace("}", ",'boot_ms':" + System.currentTimeMillis() + "}");
      }
      news.add(told(2, false, entry, entry("s1", "DRAINING", b.getLocalPort())));
      until("heard", () -> figure("backends_known") == 2);
      answer(first, "200", "", "old");
      assertEquals("200 old", answer(client));
      assertEquals("end", read(first));
      play(restarts ? a : b);
      for (String next = ""; !next.equals("200 played"); next = call(client, request("buy"))) {
        assertTrue(next.isEmpty() || next.startsWith("503"), next); // just started: not at once
      }
    }
  }

  /** A backend that moves while a connection to it comes up: what waits goes to where it is now. */
  @Test
  void movesWhileDialled() throws Exception {
    a = door(1);
    b = door(BACKLOG);
    config =
        configFor(entry("s0", "SERVING", a.getLocalPort()))
            .replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000");
    serve(config, "");
    fill(a);
    try (Socket client = connect()) {
      send(client, request("pay"));
      until("in flight", () -> figure("in_flight") == 1);
      news.add(told(2, false, entry("s0", "SERVING", b.getLocalPort())));
      Socket now = take(b);
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
  void drainsWhileDialled(boolean listedAgain) throws Exception {
    a = door(1);
    String entry = entry("s0", "SERVING", a.getLocalPort());
    serve(configFor(entry).replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000"), "");
    fill(a);
    try (Socket client = connect()) {
      String text = request("pay");
      send(client, text);
      until("in flight", () -> figure("in_flight") == 1);
      news.add(told(2, false, entry.replace("SERVING", "DRAINING")));
      assertEquals("503", answer(client).substring(0, 3));
      if (listedAgain) {
        news.add(told(3, false, entry));
      }
      play(a);
      String after = request("buy");
      while (listedAgain && !call(after).equals("200 played")) {
        after = request("buy");
      }
      assertFalse(had.contains(id(text)), had + " after " + id(text));
    }
  }

  /** Spoilt answers: bytes behind one, and interim ones without end; none is for the next req. */
  @Test
  void spoiltAnswers() throws Exception {
    serveOne("\"dialTimeout\":250000", "\"dialTimeout\":20000");
    try (Socket client = connect()) {
      send(client, request("buy"));
      Socket first = take(a);
      read(first);
      String own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
      send(first, own + own.replace("own", "bad"));
      assertEquals("200 own", answer(client));
      assertEquals("end", read(first).replace("reset", "end"));
      send(client, request("pay"));
      Socket second = take(a);
      read(second);
      start(
          () -> {
            while (true) {
              send(second, "HTTP/1.1 102 Processing\r\n\r\n".repeat(50));
            }
          });
      assertEquals("50", answer(client).substring(0, 2));
      play(a);
      for (String next = ""; !next.equals("200 played"); next = call(client, request("buy"))) {
        assertTrue(next.isEmpty() || next.startsWith("503"), next); // it counts as silent
      }
    }
  }

  /** Standstill past a req's due while its connection comes up: nothing is sent for it after. */
  @Test
  void dueBeforeDialled() throws Exception {
    a = door(1);
    config =
        configFor(entry("s0", "SERVING", a.getLocalPort()))
            .replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000");
    serve(config, "");
    fill(a);
    try (Socket client = connect()) {
      String text = request("pay");
      send(client, text);
      until("in flight", () -> figure("in_flight") == 1);
      Standstill still = standStill(config);
      play(a); // its SYN comes again a second after the first
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
  void sameIdAgain() throws Exception {
    serveOne("\"mayCancel\":true", "\"mayCancel\":false");
    String text = request("pay");
    Socket client = connect();
    send(client, text);
    Socket first = take(a);
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
  void leavesUnheard(boolean reset) throws Exception {
    serveOne();
    play(a);
    call(request("buy"));
    Standstill still = standStill(config);
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
  void leavesAmidBody() throws Exception {
    serveOne("\"mayCancel\":true", "\"mayCancel\":false");
    Socket client = connect();
    send(
        client,
        request("pay").replace("Content-Length: 2\r\n\r\nhi", "Content-Length: 200000\r\n\r\n"));
    client.getOutputStream().write(new byte[50_000]);
    Socket first = take(a);
    head(first.getInputStream());
    first.getInputStream().readNBytes(40_000);
    client.close();
    assertTrue(first.getInputStream().readAllBytes().length < 20_000);
    assertEquals(0, figure("attempts"));
  }

  // ---- the list

  /** Lists may come indented, and cut at any byte. */
  @Test
  void indented() throws Exception {
    a = door(BACKLOG);
    play(a);
    String news =
        told(1, true, entry("s0", "SERVING", a.getLocalPort()))
                .replace(",", ",\n  ")
                .replace("{", "{\r\n  ")
            + "\n";
    ServerSocket list =
        open(
            socket -> {
              head(socket.getInputStream());
              send(socket, "HTTP/1.1 200 OK\r\n\r\n");
              for (String one : news.split("")) {
                send(socket, one);
              }
            });
    serve(config(list.getLocalPort(), 1024, "{}"), "");
    assertEquals("200 played", call(request("buy")));
  }

  /**
   * Watches that are silent, or drip half a line, one after another: the next is asked for in time.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void silentAgain(boolean drips) throws Exception {
    List<Long> asked = java.util.Collections.synchronizedList(new ArrayList<>());
    String first = told(1, true, ready("s0")) + "\n";
    ServerSocket list =
        open(
            socket -> {
              head(socket.getInputStream());
              asked.add(System.nanoTime());
              int turn = asked.size();
              send(socket, "HTTP/1.1 200 OK\r\n\r\n" + (turn == 1 ? first : ""));
              for (int i = 0; turn < 4 && drips; i++) {
                send(socket, i == 0 ? "{" : " ");
                Thread.sleep(200);
              }
            });
    config = config(list.getLocalPort(), 1024, "{}").replace("\"askEvery\":1", "\"askEvery\":99");
    serve(config, "");
    long from = System.nanoTime();
    while (asked.size() < 4) {
      Thread.sleep(5);
      assertTrue(System.nanoTime() - from < 15e9, "asked " + asked.size() + " times");
    }
    // what the first has missed counts as told 6 s after; and no pause of its own comes between two
    assertTrue(asked.get(2) - asked.get(0) < 6e9, "third after " + (asked.get(2) - asked.get(0)));
    assertTrue(
        asked.get(3) - asked.get(2) < 3.4e9, "fourth after " + (asked.get(3) - asked.get(2)));
  }

  /** A watch whose answer ends while its connection stays: it counted as silent for 3 s. */
  @Test
  void answerEnds() throws Exception {
    CountDownLatch again = new CountDownLatch(2);
    String first = told(1, true, ready("s0")) + "\n";
    ServerSocket list =
        open(
            socket -> {
              head(socket.getInputStream());
              again.countDown();
              send(
                  socket,
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + Integer.toHexString(first.length())
                      + "\r\n"
                      + first
                      + "\r\n0\r\n\r\n");
              socket.getInputStream().read();
            });
    serve(config(list.getLocalPort(), 1024, "{}"), "");
    assertTrue(again.await(2, TimeUnit.SECONDS));
  }

  // ---- the end

  /** SIGTERM while clients stand in the accept queue with what they ask: they were reset. */
  @Test
  void endWithFullQueue() throws Exception {
    serveOne("\"drain_ms\":1000", "\"drain_ms\":0");
    play(a);
    Standstill still = standStill(config);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      clients.add(ask(connect(), request("buy")));
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
  void endBeforeReady() throws Exception {
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
  void endOfIdleClient() throws Exception {
    serveOne("\"drain_ms\":1000", "\"drain_ms\":0");
    play(a);
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
  void lateReqAtTheEnd() throws Exception {
    serveOne(
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
      Socket hangs = take(a);
      read(hangs);
      assertTrue(answer(client).matches("50[24].*"));
    }
  }

  /** SIGHUP, and SIGTERM again, while it ends: what is open has its answer, and it ends once. */
  @Test
  void signalsAtTheEnd() throws Exception {
    serveOne("\"drain_ms\":1000", "\"drain_ms\":0");
    try (Socket client = connect()) {
      send(client, request("pay"));
      Socket held = take(a);
      read(held);
      Standstill still = standstill("CLOSING");
      Thread ends = start(server::shutdown), again = start(server::shutdown);
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
  void zonesChangePlaces() throws Exception {
    serveOne(
        "{\"balancers\"",
        "{\"prices\":{\"crossZone\":1},\"zone\":0,\"balancers\"",
        "[\"a\"]",
        "[\"a\",\"b\"]");
    news.add(
        told(2, false, entry("s1", "SERVING", b.getLocalPort()).replace("'az':'a'", "'az':'b'")));
    until("heard", () -> figure("backends_known") == 2);
    server.reload(
        Files.writeString(
            folder.resolve("config.json"),
            config.replace("[\"a\",\"b\"]", "[\"b\",\"a\"]").replace("\"zone\":0", "\"zone\":1")));
    until("read again", () -> figure("reloads_ok") == 1);
    play(a);
    assertEquals("200 played", call(request("buy")));
    b.setSoTimeout(1);
    assertThrows(SocketTimeoutException.class, () -> b.accept());
  }
}
