package wheattrack.net;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import wheattrack.Signals;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/** One proxy on loopback sockets: what clients, backends and the list see of it. */
class ProxyServerTest extends ProxyTestHarness {
  /** Each outcome under each effect: what the client is told and how often it may have run. */
  @Test
  void outcomes() throws Exception {
    serveBy(8);
    for (String set : new String[] {"buy", "mark", "pay"}) {
      for (String acts :
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
        script.addAll(List.of(acts.split(" ")));
        int before = came.get();
        String answer = call(request(set)).replaceAll("s\\d", "ok");
        w.say(set + " [" + acts + "] " + answer + ", sent " + (came.get() - before));
        script.clear();
      }
      Thread.sleep(1100); // then shut ones are tried again
      for (int i = 0; i < 100; i++) {
        call(request("buy"));
      }
    }
    w.matches("server-outcomes");
  }

  /** What goes on to a backend and back, and how long a silent one is waited for. */
  @Test
  void passesOn() throws Exception {
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
    long from = System.nanoTime();
    String answer =
        call(request("pay").replace("Work-Hint", "Request-Timeout: 1.000\r\nWork-Hint"));
    long took = (System.nanoTime() - from) / 1_000_000;
    boolean inTime = took > 700 && took <= 1000;
    w.say(
        "silent: "
            + answer.replaceAll("50[24]", "502 or 504")
            + ", in time "
            + inTime
            + ", sent "
            + came.get());
    w.matches("server-passes-on");
  }

  /** Bad input of clients: a clear 4xx and the connection closed, and the next client is served. */
  @Test
  void badClients() throws Exception {
    serveBy(3);
    String post = "POST /buy HTTP/1.1\r\nRequest-Id: 7\r\n";
    for (String in :
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
        send(socket, in);
        String short70 = in.substring(0, Math.min(70, in.length())).replaceAll("[^ -~]+", "|");
        w.say(short70 + " -> " + answer(socket));
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
   * Bad clients: the silent, the dripping and the half-said are turned away within 3 s of
   * connecting.
   */
  @Test
  void badClientsInTime() throws Exception {
    serveBy(3);
    String half = "GET /buy HTTP/1.1\r\nRequest-Id: 9\r\n";
    long from = System.nanoTime();
    try (Socket silent = connect();
        Socket drips = connect();
        Socket halved = connect();
        Socket once = connect()) {
      w.say("asks once and stays: " + call(once, request("buy")).replaceAll("s\\d", "ok"));
      send(halved, half);
      for (int i = 0; i < 20; i++) {
        send(drips, "X");
        Thread.sleep(100);
      }
      w.say(
          "silent "
              + answer(silent)
              + ", dripping "
              + answer(drips)
              + ", half-said "
              + answer(halved)
              + ", at rest "
              + answer(once)
              + ", in time "
              + (System.nanoTime() - from < 3_000_000_000L));
    }
    try (Socket slow = connect()) {
      w.say("usual: " + call(slow, request("buy")).replaceAll("s\\d", "ok"));
      Thread.sleep(1000);
      send(slow, half);
      Thread.sleep(1500);
      w.say("rests and writes slowly: " + call(slow, "\r\n").replaceAll("s\\d", "ok"));
    }
    w.matches("server-in-time");
  }

  /** Bad clients: a second copy of a req that is open reached the backends. */
  @Test
  void openId() throws Exception {
    serveBy(3);
    try (Socket first = connect()) {
      script.add("slow");
      String same = request("buy");
      send(first, same);
      untilOneCame();
      w.say("id open: " + call(same) + ", sent " + came);
      w.say("first: " + answer(first) + ", id free: " + call(same).replaceAll("s\\d", "ok"));
    }
    w.matches("server-open-id");
  }

  /** Incident to be: nothing more runs for a client that has left. */
  @Test
  void clientLeaves() throws Exception {
    serveBy(3);
    seen.clear();
    script.add("none");
    Socket socket = connect();
    send(socket, request("pay"));
    untilOneCame();
    socket.close();
    String ends = seen.poll(2000, TimeUnit.MILLISECONDS);
    w.say("client left, backend's connection " + ends + ", sent " + came.get());
    w.matches("server-client-leaves");
  }

  /**
   * An end in order: what comes while draining is served, what is open answered, then nothing
   * listens.
   */
  @Test
  void endsInOrder() throws Exception {
    serveBy(3);
    try (Socket slow = connect();
        Socket idle = connect()) {
      script.add("slow");
      send(idle, "GET /ready HTTP/1.1\r\n\r\n");
      w.say("before: " + answer(idle));
      Thread ending = start(server::end);
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
      ending.join(5000);
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
   * The list: an old one at the start, bad entries and lines, a srv that drains, moves and goes.
   */
  @Test
  void followsTheList() throws Exception {
    int[] at = new int[3];
    for (int i = 0; i < 3; i++) {
      String name = "s" + i;
      at[i] = open(socket -> backend(name, socket)).getLocalPort();
    }
    int shut = open(socket -> {}).getLocalPort();
    doors.get(doors.size() - 1).close();
    news.add(told(4, false));
    serve(1024, told(3, true, entry("s0", "SERVING", at[0]), entry("s9", "SERVING", shut)));
    w.say("known of old: " + who());
    step(
        told(
            5,
            false,
            entry("s1", "SERVING", at[1]),
            "{'uid':'s7'}",
            entry("s8", "ASLEEP", 1),
            "{'uid':'s6','endpoint':'localhost:1','state':'SERVING'}",
            "{'uid':6}"));
    step(told(6, false, entry("s0", "DRAINING", at[0])));
    step("no json");
    step(told(7, false, entry("s1", "SERVING", at[2])));
    step("[]");
    step(told(8, true, entry("s0", "SERVING", at[0])));
    step(told(9, false, entry("s0", "DELETED", at[0])));
    news.add("end");
    step(told(10, true, entry("s1", "SERVING", at[1])));
    Thread.sleep(3300); // no line comes: the watch counts as broken
    seen.removeIf("closed"::equals);
    w.say("asked " + seen);
    w.matches("server-list");
  }

  /**
   * Mass restart: reqs went to srvs that drain, as the list known of old was used until news came.
   */
  @Test
  void startsByWhatDiscoverySays() throws Exception {
    int[] at = new int[2];
    for (int i = 0; i < 2; i++) {
      String name = "s" + i;
      at[i] = open(socket -> backend(name, socket)).getLocalPort();
    }
    String known = told(3, true, entry("s0", "SERVING", at[0]), entry("s1", "SERVING", at[1]));
    String now = told(7, true, entry("s0", "DRAINING", at[0]), entry("s1", "SERVING", at[1]));
    int list = open(this::list).getLocalPort();
    server = new ProxyServer(new ProxyConfig(Json.object(config(list, 1024, known))));
    port = server.port();
    running = start(server::run);
    try (Socket early = connect()) { // while it starts: waits, and is served by the news
      send(early, request("buy"));
      Thread.sleep(100);
      news.add(now);
      w.say("came early: " + answer(early) + ", then " + who() + ", asked " + seen);
    }
    server.end();
    news.clear();
    server = new ProxyServer(new ProxyConfig(Json.object(config(list, 1024, known))));
    port = server.port();
    running = start(server::run);
    w.say("discovery says nothing: " + call(request("buy")));
    Thread.sleep(3300);
    w.say("for 3 s: " + who());
    news.add(now);
    Thread.sleep(300);
    w.say("and then: " + who());
    w.matches("server-starts");
  }

  /**
   * A large fleet's list in trouble: changes of an old revision, and a whole list of one, bring no
   * drained srv back; of repeated entries the last counts; 40 broken ones of 60 are one line; cut
   * off amid a line, or refused, the last good list is kept.
   */
  @Test
  void listInTrouble() throws Exception {
    String[] s = {ready("s0"), ready("s1")};
    String drains = s[0].replace("SERVING", "DRAINING");
    Logger log = Logger.getLogger("wheattrack");
    Handler ear = ear();
    log.addHandler(ear);
    log.setLevel(Level.WARNING);
    try {
      news.add(told(5, true, s));
      serve(1024, "{}");
      step(told(6, false, drains));
      step(told(4, false, s[0]));
      news.add("end");
      step(told(3, true, s));
      step(told(7, false, s[0]));
      step(told(8, true, s[0], s[1], drains));
      String[] many = new String[60];
      for (int i = 0; i < 60; i++) {
        many[i] = i % 3 == 0 ? s[i % 2] : "{'uid':'b" + i + "','state':'SERVING'}";
      }
      news.add(told(9, true, many));
      Thread.sleep(300);
      w.say("60 entries, 40 broken: " + who());
      news.add("half " + told(10, true, s[0]));
      Thread.sleep(600);
      w.say("cut off: " + who());
      doors.get(doors.size() - 1).close(); // the list's
      news.add("end");
      Thread.sleep(1000);
      w.say("refuses: " + who());
    } finally {
      log.removeHandler(ear);
      log.setLevel(Level.SEVERE);
    }
    w.matches("server-list-trouble");
  }

  /**
   * Day of new configurations: SIGHUP ended the process. What is open and learnt stays; a bad file
   * too.
   */
  @Test
  void rereads() throws Exception {
    serveBy(2);
    Path file = Files.createTempFile("wheattrack", ".json");
    Signals.onHangup(() -> server.reread(file));
    Logger log = Logger.getLogger("wheattrack");
    Handler ear = ear();
    log.addHandler(ear);
    log.setLevel(Level.INFO);
    try (Socket slow = connect()) {
      script.add("slow");
      send(slow, request("pay"));
      untilOneCame();
      int second =
          open(socket -> {
                seen.add("second list");
                list(socket);
              })
              .getLocalPort();
      String s2 = ready("s2");
      for (String text :
          new String[] {
            config(second, 512, "{}"),
            "{'discovery'",
            "",
            config(second, 1024, "{}").replace("127.0.0.1:" + second, "list:1"),
            config(second, 1024, "{}").replace("read_like", "any")
          }) {
        Files.writeString(file, text);
        new ProcessBuilder("kill", "-HUP", "" + ProcessHandle.current().pid()).start().waitFor();
        Thread.sleep(200);
      }
      w.say("open meanwhile: " + answer(slow));
      news.add(told(1, true, s2));
      Thread.sleep(200);
      seen.removeIf("closed"::equals);
      w.say("asked " + seen + ", now " + who());
    } finally {
      log.removeHandler(ear);
      log.setLevel(Level.SEVERE);
      Files.delete(file);
    }
    w.matches("server-rereads");
  }

  private void step(String line) throws Exception {
    news.add(line);
    Thread.sleep(300);
    w.say(line.replaceAll("127.0.0.1:\\d+", "PORT") + "\n  " + who());
  }

  /** Which backends serve ten calls. */
  private String who() throws IOException {
    var names = new java.util.TreeSet<String>();
    for (int i = 0; i < 10; i++) {
      names.add(call(request("buy")));
    }
    return names.toString();
  }

  /** Few descriptors: idle connections give way, and who comes beyond is denied at once. */
  @Test
  void fewSockets() throws Exception {
    news.add(told(1, true, ready("s0")));
    serve(64, "{}");
    List<Socket> open = new ArrayList<>();
    Socket usual = connect();
    w.say("usual: " + call(usual, request("buy")));
    for (int i = 0; i < 27; i++) {
      open.add(connect());
      Thread.sleep(i == 14 ? 300 : 0);
    }
    w.say(
        "beside 27 that say nothing: "
            + call(request("buy"))
            + ", usual: "
            + call(usual, request("buy")));
    usual.close();
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
