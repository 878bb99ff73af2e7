package wheattrack.net;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import wheattrack.Signals;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/** One proxy on loopback sockets, as clients, backends and discovery see it. */
class ProxyServerTest extends ProxyTestHarness {
  /** Each outcome for each kind of idempotency: the client's answer and the number of attempts. */
  @Test
  void outcomesPerRequestClass() throws Exception {
    serveBy(8);
    for (String requestClass : new String[] {"buy", "mark", "pay"}) {
      for (String backendActions :
          new String[] {
            "ok",
            "chunks",
            "500 ok",
            "full ok",
            "late ok",
            "503 ok",
            "404 ok",
            "cut ok",
            "half ok",
            "unmeasured ok",
            "garbage ok",
            "full 500 ok",
            "500 500 500"
          }) {
        script.addAll(List.of(backendActions.split(" ")));
        int attemptsBefore = came.get();
        String answer = call(request(requestClass)).replaceAll("s\\d", "ok");
        w.say(
            requestClass
                + " ["
                + backendActions
                + "] "
                + answer
                + ", sent "
                + (came.get() - attemptsBefore));
        script.clear();
      }
      Thread.sleep(1100); // then ejected backends are probed
      for (int i = 0; i < 100; i++) {
        call(request("buy"));
      }
    }
    w.matches("server-outcomes");
  }

  /** What is forwarded to a backend and back, and how long a silent backend is waited for. */
  @Test
  void forwardsRequestAndTimesOut() throws Exception {
    serveBy(2);
    script.add("echo");
    w.say(
        call(
            "PUT /buy/7?x=%20y HTTP/1.1\r\n"
                + "Host: shop\r\n"
                + "Request-Id: 7\r\n"
                + "Request-Timeout: 0.300\r\n"
                + "Connection: X-Own\r\n"
                + "X-Own: 1\r\n"
                + "X-Other: 2\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n"
                + "2\r\n"
                + "hi\r\n"
                + "0\r\n\r\n"));
    script.add("none");
    long startNanos = System.nanoTime();
    String answer =
        call(request("pay").replace("Work-Hint", "Request-Timeout: 1.000\r\nWork-Hint"));
    long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
    boolean isInTime = elapsedMillis > 700 && elapsedMillis <= 1000;
    w.say(
        "silent: "
            + answer.replaceAll("50[24]", "502 or 504")
            + ", in time "
            + isInTime
            + ", sent "
            + came.get());
    w.matches("server-passes-on");
  }

  /** Bad input of clients: a clear 4xx and the connection closed, and the next client is served. */
  @Test
  void malformedRequestsAreRejected() throws Exception {
    serveBy(3);
    String post = "POST /buy HTTP/1.1\r\nRequest-Id: 7\r\n";
    for (String input :
        new String[] {
          "GET / HTTP/1.1\r\nRequest-Id: 7\r\n\r\n",
          "POST /buy HTTP/1.1\r\n\r\n",
          post + "Request-Class: sell\r\n\r\n",
          post + "Request-Timeout: soon\r\n\r\n",
          post + "Request-Timeout: -1\r\n\r\n",
          post + "Work-Hint: 1e9\r\n\r\n",
          post + "Content-Length: x\r\n\r\n",
          post + "Content-Length: 70000000\r\n\r\n",
          post + "A: " + "1".repeat(20_000) + "\r\n\r\n",
          "\u0000\u0001\r\n\r\n",
          "HEAD /buy HTTP/1.1\r\n\r\n",
          post + "Request-Timeout: 0\r\n\r\n",
          post + "Work-Hint: 99999999999999999999\r\n\r\n"
        }) {
      try (Socket socket = connect()) {
        send(socket, input);
        String inputStart =
            input.substring(0, Math.min(70, input.length())).replaceAll("[^ -~]+", "|");
        w.say(inputStart + " -> " + answer(socket));
      }
    }
    try (Socket socket = connect()) {
      send(socket, post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
      w.say("expecting -> " + answer(socket));
      send(socket, "hi" + request("buy") + request("buy"));
      w.say(
          "whole, and two more at once -> "
              + answer(socket).substring(0, 3)
              + " "
              + answer(socket).substring(0, 3)
              + " "
              + answer(socket).substring(0, 3));
    }
    w.matches("server-bad-clients");
  }

  /**
   * Bad clients: a silent one, one that drips bytes and one that sends half a head are rejected
   * within 3 s of connecting.
   */
  @Test
  void slowClientsAreRejectedInTime() throws Exception {
    serveBy(3);
    String partialHead = "GET /buy HTTP/1.1\r\nRequest-Id: 9\r\n";
    long startNanos = System.nanoTime();
    try (Socket silent = connect();
        Socket dripping = connect();
        Socket partial = connect();
        Socket single = connect()) {
      w.say("asks once and stays: " + call(single, request("buy")).replaceAll("s\\d", "ok"));
      send(partial, partialHead);
      for (int i = 0; i < 20; i++) {
        send(dripping, "X");
        Thread.sleep(100);
      }
      w.say(
          "silent "
              + answer(silent)
              + ", dripping "
              + answer(dripping)
              + ", half-said "
              + answer(partial)
              + ", at rest "
              + answer(single)
              + ", in time "
              + (System.nanoTime() - startNanos < 3_000_000_000L));
    }
    try (Socket slow = connect()) {
      w.say("usual: " + call(slow, request("buy")).replaceAll("s\\d", "ok"));
      Thread.sleep(1000);
      send(slow, partialHead);
      Thread.sleep(1500);
      w.say("rests and writes slowly: " + call(slow, "\r\n").replaceAll("s\\d", "ok"));
    }
    w.matches("server-in-time");
  }

  /** Incident with bad clients: a second copy of a request in flight reached the backends. */
  @Test
  void openRequestIdIsNotForwardedTwice() throws Exception {
    serveBy(3);
    try (Socket first = connect()) {
      script.add("slow");
      String request = request("buy");
      send(first, request);
      untilOneCame();
      w.say("id open: " + call(request) + ", sent " + came);
      w.say("first: " + answer(first) + ", id free: " + call(request).replaceAll("s\\d", "ok"));
    }
    w.matches("server-open-id");
  }

  /** Nothing more runs for a client that has disconnected. */
  @Test
  void clientDisconnectCancelsAttempt() throws Exception {
    serveBy(3);
    seen.clear();
    script.add("none");
    Socket socket = connect();
    send(socket, request("pay"));
    untilOneCame();
    socket.close();
    String closed = seen.poll(2000, TimeUnit.MILLISECONDS);
    w.say("client left, backend's connection " + closed + ", sent " + came.get());
    w.matches("server-client-leaves");
  }

  /**
   * Graceful shutdown: requests that come while draining are served, those in flight answered, then
   * nothing listens.
   */
  @Test
  void gracefulShutdown() throws Exception {
    serveBy(3);
    try (Socket slow = connect();
        Socket idle = connect()) {
      script.add("slow");
      send(idle, "GET /ready HTTP/1.1\r\n\r\n");
      w.say("before: " + answer(idle));
      Thread shutdownThread = start(server::shutdown);
      while (!call("GET /ready HTTP/1.1\r\n\r\n").startsWith("503")) {
        Thread.sleep(5);
      }
      send(slow, request("pay"));
      while (!script.isEmpty()) {
        Thread.sleep(5);
      }
      w.say("draining: " + call("GET /ready HTTP/1.1\r\n\r\n"));
      w.say("one more: " + call(request("buy")).replaceAll("s[012]", "ok"));
      w.say("open: " + answer(slow) + ", idle: " + answer(idle));
      shutdownThread.join(5000);
      w.say("ended: " + !running.isAlive());
      try (Socket late = connect()) {
        w.say("late: accepted " + late.isConnected());
      } catch (IOException e) {
        w.say("late: " + e.getMessage());
      }
    }
    w.matches("server-ends");
  }

  /**
   * The endpoint list: a cached one at the start, bad entries and lines, a backend that drains,
   * moves and leaves.
   */
  @Test
  void followsEndpointList() throws Exception {
    int[] ports = new int[3];
    for (int i = 0; i < 3; i++) {
      String name = "s" + i;
      ports[i] = open(socket -> backend(name, socket)).getLocalPort();
    }
    int closedPort = open(socket -> {}).getLocalPort();
    doors.get(doors.size() - 1).close();
    news.add(told(4, false));
    serve(
        1024, told(3, true, entry("s0", "SERVING", ports[0]), entry("s9", "SERVING", closedPort)));
    w.say("known of old: " + servingBackends());
    applyListLine(
        told(
            5,
            false,
            entry("s1", "SERVING", ports[1]),
            "{'uid':'s7'}",
            entry("s8", "ASLEEP", 1),
            "{'uid':'s6','endpoint':'localhost:1','state':'SERVING'}",
            "{'uid':6}"));
    applyListLine(told(6, false, entry("s0", "DRAINING", ports[0])));
    applyListLine("no json");
    applyListLine(told(7, false, entry("s1", "SERVING", ports[2])));
    applyListLine("[]");
    applyListLine(told(8, true, entry("s0", "SERVING", ports[0])));
    applyListLine(told(9, false, entry("s0", "DELETED", ports[0])));
    news.add("end");
    applyListLine(told(10, true, entry("s1", "SERVING", ports[1])));
    Thread.sleep(3300); // no line comes: the watch counts as broken
    seen.removeIf("closed"::equals);
    w.say("asked " + seen);
    w.matches("server-list");
  }

  /**
   * Incident in a mass restart: requests went to draining backends, as the cached list was used
   * until discovery answered.
   */
  @Test
  void startsWithDiscoverysList() throws Exception {
    int[] ports = new int[2];
    for (int i = 0; i < 2; i++) {
      String name = "s" + i;
      ports[i] = open(socket -> backend(name, socket)).getLocalPort();
    }
    String cachedList =
        told(3, true, entry("s0", "SERVING", ports[0]), entry("s1", "SERVING", ports[1]));
    String currentList =
        told(7, true, entry("s0", "DRAINING", ports[0]), entry("s1", "SERVING", ports[1]));
    int discoveryPort = open(this::list).getLocalPort();
    server = new ProxyServer(new ProxyConfig(Json.object(config(discoveryPort, 1024, cachedList))));
    port = server.port();
    running = start(server::run);
    try (Socket early = connect()) { // while it starts: waits, and is served by discovery's list
      send(early, request("buy"));
      Thread.sleep(100);
      news.add(currentList);
      w.say("came early: " + answer(early) + ", then " + servingBackends() + ", asked " + seen);
    }
    server.shutdown();
    news.clear();
    server = new ProxyServer(new ProxyConfig(Json.object(config(discoveryPort, 1024, cachedList))));
    port = server.port();
    running = start(server::run);
    w.say("discovery says nothing: " + call(request("buy")));
    Thread.sleep(3300);
    w.say("for 3 s: " + servingBackends());
    news.add(currentList);
    Thread.sleep(300);
    w.say("and then: " + servingBackends());
    w.matches("server-starts");
  }

  /**
   * Faults of a large fleet's list: changes of an old revision, and a complete list of one, bring
   * no drained backend back; of repeated entries the last counts; 40 malformed ones of 60 are one
   * log line; if the list is cut off within a line, or refused, the last good one is kept.
   */
  @Test
  void faultyEndpointLists() throws Exception {
    String[] entries = {ready("s0"), ready("s1")};
    String drainingEntry = entries[0].replace("SERVING", "DRAINING");
    Logger log = Logger.getLogger("wheattrack");
    Handler logHandler = ear();
    log.addHandler(logHandler);
    log.setLevel(Level.WARNING);
    try {
      news.add(told(5, true, entries));
      serve(1024, "{}");
      applyListLine(told(6, false, drainingEntry));
      applyListLine(told(4, false, entries[0]));
      news.add("end");
      applyListLine(told(3, true, entries));
      applyListLine(told(7, false, entries[0]));
      applyListLine(told(8, true, entries[0], entries[1], drainingEntry));
      String[] manyEntries = new String[60];
      for (int i = 0; i < 60; i++) {
        manyEntries[i] = i % 3 == 0 ? entries[i % 2] : "{'uid':'b" + i + "','state':'SERVING'}";
      }
      news.add(told(9, true, manyEntries));
      Thread.sleep(300);
      w.say("60 entries, 40 broken: " + servingBackends());
      news.add("half " + told(10, true, entries[0]));
      Thread.sleep(600);
      w.say("cut off: " + servingBackends());
      doors.get(doors.size() - 1).close(); // the list's
      news.add("end");
      Thread.sleep(1000);
      w.say("refuses: " + servingBackends());
    } finally {
      log.removeHandler(logHandler);
      log.setLevel(Level.SEVERE);
    }
    w.matches("server-list-trouble");
  }

  /**
   * Incident with new configurations: SIGHUP ended the process. Requests in flight and measurements
   * stay, also with a bad file.
   */
  @Test
  void reloadsOnHangup() throws Exception {
    serveBy(2);
    Path file = Files.createTempFile("wheattrack", ".json");
    Signals.onHangup(() -> server.reload(file));
    Logger log = Logger.getLogger("wheattrack");
    Handler logHandler = ear();
    log.addHandler(logHandler);
    log.setLevel(Level.INFO);
    try (Socket slow = connect()) {
      script.add("slow");
      send(slow, request("pay"));
      untilOneCame();
      int secondDiscoveryPort =
          open(socket -> {
                seen.add("second list");
                list(socket);
              })
              .getLocalPort();
      String thirdBackend = ready("s2");
      for (String config :
          new String[] {
            config(secondDiscoveryPort, 512, "{}"),
            "{'discovery'",
            "",
            config(secondDiscoveryPort, 1024, "{}")
                .replace("127.0.0.1:" + secondDiscoveryPort, "list:1"),
            config(secondDiscoveryPort, 1024, "{}").replace("read_like", "any")
          }) {
        Files.writeString(file, config);
        new ProcessBuilder("kill", "-HUP", "" + ProcessHandle.current().pid()).start().waitFor();
        Thread.sleep(200);
      }
      w.say("open meanwhile: " + answer(slow));
      news.add(told(1, true, thirdBackend));
      Thread.sleep(200);
      seen.removeIf("closed"::equals);
      w.say("asked " + seen + ", now " + servingBackends());
    } finally {
      log.removeHandler(logHandler);
      log.setLevel(Level.SEVERE);
      Files.delete(file);
    }
    w.matches("server-rereads");
  }

  private void applyListLine(String line) throws Exception {
    news.add(line);
    Thread.sleep(300);
    w.say(line.replaceAll("127.0.0.1:\\d+", "PORT") + "\n  " + servingBackends());
  }

  /** Which backends serve ten calls. */
  private String servingBackends() throws IOException {
    Set<String> names = new TreeSet<>();
    for (int i = 0; i < 10; i++) {
      names.add(call(request("buy")));
    }
    return names.toString();
  }

  /**
   * Few descriptors: idle connections are closed, and clients beyond the limit are rejected at
   * once.
   */
  @Test
  void fewDescriptors() throws Exception {
    news.add(told(1, true, ready("s0")));
    serve(64, "{}");
    List<Socket> open = new ArrayList<>();
    Socket regularClient = connect();
    w.say("usual: " + call(regularClient, request("buy")));
    for (int i = 0; i < 27; i++) {
      open.add(connect());
      Thread.sleep(i == 14 ? 300 : 0);
    }
    w.say(
        "beside 27 that say nothing: "
            + call(request("buy"))
            + ", usual: "
            + call(regularClient, request("buy")));
    regularClient.close();
    int[] answers = new int[2];
    for (int i = 0; i < 30; i++) {
      script.add("slow");
      open.add(connect());
      send(open.get(27 + i), request("buy"));
    }
    for (Socket socket : open.subList(27, 57)) {
      answers[answer(socket).startsWith("200") ? 0 : 1]++;
    }
    script.clear();
    w.say("of 30 at once all answered, some denied: " + (answers[0] > 0 && answers[1] > 0));
    for (Socket socket : open) {
      socket.close();
    }
    w.say("after: " + call(request("buy")));
    w.matches("server-few-sockets");
  }
}
