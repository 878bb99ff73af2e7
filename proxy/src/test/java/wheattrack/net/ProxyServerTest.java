package wheattrack.net;

import static wheattrack.net.RawHttp.readAnswer;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.send;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import wheattrack.Signals;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/** What clients, backends and the discovery service receive from a proxy on loopback sockets. */
class ProxyServerTest extends ProxyTestHarness {
  /** A watch that receives no line for this time counts as broken. */
  private static final int SILENT_WATCH_MILLIS = 3300;

  /** After this time ejected backends are probed again. */
  private static final int EJECTION_MILLIS = 1100;

  /** Within this time a sent line of the endpoint list is applied. */
  private static final int LIST_CHANGE_MILLIS = 300;

  private static final int SILENT_CLIENTS = 27;
  private static final int BURST_CLIENTS = 30;

  /** The actions that backends take for a request and its retries. */
  private static final List<List<BackendAction>> OUTCOMES =
      List.of(
          List.of(BackendAction.OK),
          List.of(BackendAction.OK_CHUNKED),
          List.of(BackendAction.STATUS_500, BackendAction.OK),
          List.of(BackendAction.NOT_STARTED_503, BackendAction.OK),
          List.of(BackendAction.NOT_STARTED_504, BackendAction.OK),
          List.of(BackendAction.STATUS_503, BackendAction.OK),
          List.of(BackendAction.STATUS_404, BackendAction.OK),
          List.of(BackendAction.CLOSE, BackendAction.OK),
          List.of(BackendAction.TRUNCATED_BODY, BackendAction.OK),
          List.of(BackendAction.BODY_WITHOUT_LENGTH, BackendAction.OK),
          List.of(BackendAction.NOT_HTTP, BackendAction.OK),
          List.of(BackendAction.NOT_STARTED_503, BackendAction.STATUS_500, BackendAction.OK),
          List.of(BackendAction.STATUS_500, BackendAction.STATUS_500, BackendAction.STATUS_500));

  private static String traceText(List<BackendAction> actions) {
    return actions.stream().map(BackendAction::toString).collect(Collectors.joining(" "));
  }

  /** For each outcome in each class: the answer to the client, and the number of attempts. */
  @Test
  void eachOutcomeIsAnsweredInEachClass() throws Exception {
    startProxyWithBackends(8);
    for (String className : new String[] {"buy", "mark", "pay"}) {
      for (List<BackendAction> actions : OUTCOMES) {
        backends.enqueue(actions.toArray(BackendAction[]::new));
        int requestsBefore = requestsReceived.get();
        String answer = call(request(className)).replaceAll("s\\d", "ok");
        recorder.recordLine(
            className
                + " ["
                + traceText(actions)
                + "] "
                + answer
                + ", sent "
                + (requestsReceived.get() - requestsBefore));
        backends.clearScript();
      }
      Thread.sleep(EJECTION_MILLIS);
      for (int i = 0; i < 100; i++) {
        call(request("buy"));
      }
    }
    recorder.assertMatches("server-outcomes");
  }

  /** Headers are forwarded in both directions, and a backend that does not answer times out. */
  @Test
  void headersAreForwardedAndSilentBackendsTimeOut() throws Exception {
    startProxyWithBackends(2);
    backends.enqueue(BackendAction.ECHO);
    recorder.recordLine(
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
    backends.enqueue(BackendAction.NO_ANSWER);
    long startedAt = System.nanoTime();
    String answer =
        call(request("pay").replace("Work-Hint", "Request-Timeout: 1.000\r\nWork-Hint"));
    long elapsed = (System.nanoTime() - startedAt) / 1_000_000;
    boolean isInTime = elapsed > 700 && elapsed <= 1000;
    recorder.recordLine(
        "silent: "
            + answer.replaceAll("50[24]", "502 or 504")
            + ", in time "
            + isInTime
            + ", sent "
            + requestsReceived.get());
    recorder.assertMatches("server-passes-on");
  }

  /** Malformed requests receive a 4xx and a closed connection, and the next client is served. */
  @Test
  void malformedRequestsAreRejected() throws Exception {
    startProxyWithBackends(3);
    String post = "POST /buy HTTP/1.1\r\nRequest-Id: 7\r\n";
    for (String request :
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
        send(socket, request);
        String excerpt =
            request.substring(0, Math.min(70, request.length())).replaceAll("[^ -~]+", "|");
        recorder.recordLine(excerpt + " -> " + readAnswer(socket));
      }
    }
    try (Socket socket = connect()) {
      send(socket, post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
      recorder.recordLine("expecting -> " + readAnswer(socket));
      send(socket, "hi" + request("buy") + request("buy"));
      recorder.recordLine(
          "whole, and two more at once -> "
              + readAnswer(socket).substring(0, 3)
              + " "
              + readAnswer(socket).substring(0, 3)
              + " "
              + readAnswer(socket).substring(0, 3));
    }
    recorder.assertMatches("server-bad-clients");
  }

  /**
   * Clients that send nothing, single bytes or half a head are rejected within 3 s of connecting.
   */
  @Test
  void slowClientsAreRejectedInTime() throws Exception {
    startProxyWithBackends(3);
    String halfHead = "GET /buy HTTP/1.1\r\nRequest-Id: 9\r\n";
    long startedAt = System.nanoTime();
    try (Socket silent = connect();
        Socket dripping = connect();
        Socket halved = connect();
        Socket idle = connect()) {
      recorder.recordLine(
          "asks once and stays: " + call(idle, request("buy")).replaceAll("s\\d", "ok"));
      send(halved, halfHead);
      for (int i = 0; i < 20; i++) {
        send(dripping, "X");
        Thread.sleep(100);
      }
      recorder.recordLine(
          "silent "
              + readAnswer(silent)
              + ", dripping "
              + readAnswer(dripping)
              + ", half-said "
              + readAnswer(halved)
              + ", at rest "
              + readAnswer(idle)
              + ", in time "
              + (System.nanoTime() - startedAt < 3_000_000_000L));
    }
    try (Socket slow = connect()) {
      recorder.recordLine("usual: " + call(slow, request("buy")).replaceAll("s\\d", "ok"));
      Thread.sleep(1000);
      send(slow, halfHead);
      Thread.sleep(1500);
      recorder.recordLine(
          "rests and writes slowly: " + call(slow, "\r\n").replaceAll("s\\d", "ok"));
    }
    recorder.assertMatches("server-in-time");
  }

  /** Guards against a request being sent to backends while one with its id is in flight. */
  @Test
  void sameIdIsRejectedWhileInFlight() throws Exception {
    startProxyWithBackends(3);
    try (Socket first = connect()) {
      backends.enqueue(BackendAction.SLOW_OK);
      String sameRequest = request("buy");
      send(first, sameRequest);
      awaitFirstRequest();
      recorder.recordLine("id open: " + call(sameRequest) + ", sent " + requestsReceived);
      recorder.recordLine(
          "first: "
              + readAnswer(first)
              + ", id free: "
              + call(sameRequest).replaceAll("s\\d", "ok"));
    }
    recorder.assertMatches("server-open-id");
  }

  /**
   * When a client disconnects, its attempt is cancelled by closing the connection to the backend.
   */
  @Test
  void disconnectClosesTheBackendConnection() throws Exception {
    startProxyWithBackends(3);
    observations.clear();
    backends.enqueue(BackendAction.NO_ANSWER);
    Socket socket = connect();
    send(socket, request("pay"));
    awaitFirstRequest();
    socket.close();
    String closing = observations.poll(2000, TimeUnit.MILLISECONDS);
    recorder.recordLine(
        "client left, backend's connection " + closing + ", sent " + requestsReceived.get());
    recorder.assertMatches("server-client-leaves");
  }

  /**
   * Shutdown: requests that arrive during draining are served, those in flight are answered, and
   * afterwards new connections are refused.
   */
  @Test
  void shutdownDrainsBeforeItEnds() throws Exception {
    startProxyWithBackends(3);
    try (Socket slow = connect();
        Socket idle = connect()) {
      backends.enqueue(BackendAction.SLOW_OK);
      send(idle, "GET /ready HTTP/1.1\r\n\r\n");
      recorder.recordLine("before: " + readAnswer(idle));
      Thread ending = startThread(server::shutdown);
      while (!call("GET /ready HTTP/1.1\r\n\r\n").startsWith("503")) {
        Thread.sleep(5);
      }
      send(slow, request("pay"));
      while (!backends.isScriptOver()) {
        Thread.sleep(5);
      }
      recorder.recordLine("draining: " + call("GET /ready HTTP/1.1\r\n\r\n"));
      recorder.recordLine("one more: " + call(request("buy")).replaceAll("s[012]", "ok"));
      recorder.recordLine("open: " + readAnswer(slow) + ", idle: " + readAnswer(idle));
      ending.join(5000);
      serverThread.join(5000); // shutdown() may return just before the serving thread ends
      recorder.recordLine("ended: " + !serverThread.isAlive());
      try (Socket late = connect()) {
        recorder.recordLine("late: accepted " + late.isConnected());
      } catch (IOException e) {
        recorder.recordLine("late: " + e.getMessage());
      }
    }
    recorder.assertMatches("server-ends");
  }

  /**
   * A known list, malformed entries and lines, and a backend that drains, moves and is deleted: the
   * serving backends are those of the last valid lines.
   */
  @Test
  void endpointListChangesAreFollowed() throws Exception {
    int[] ports = new int[3];
    for (int i = 0; i < 3; i++) {
      String name = "s" + i;
      ports[i] = listen(socket -> backends.serve(name, socket)).getLocalPort();
    }
    int closedPort = listen(socket -> {}).getLocalPort();
    listeners.get(listeners.size() - 1).close();
    endpointList.send(listLine(4, false));
    startProxy(
        MAX_SOCKETS,
        listLine(
            3, true, endpoint("s0", "SERVING", ports[0]), endpoint("s9", "SERVING", closedPort)));
    recorder.recordLine("known of old: " + servingBackends());
    sendListLine(
        listLine(
            5,
            false,
            endpoint("s1", "SERVING", ports[1]),
            "{'uid':'s7'}",
            endpoint("s8", "ASLEEP", 1),
            "{'uid':'s6','endpoint':'localhost:1','state':'SERVING'}",
            "{'uid':6}"));
    sendListLine(listLine(6, false, endpoint("s0", "DRAINING", ports[0])));
    sendListLine("no json");
    sendListLine(listLine(7, false, endpoint("s1", "SERVING", ports[2])));
    sendListLine("[]");
    sendListLine(listLine(8, true, endpoint("s0", "SERVING", ports[0])));
    sendListLine(listLine(9, false, endpoint("s0", "DELETED", ports[0])));
    endpointList.closeWatch();
    sendListLine(listLine(10, true, endpoint("s1", "SERVING", ports[1])));
    Thread.sleep(SILENT_WATCH_MILLIS);
    observations.removeIf("closed"::equals);
    recorder.recordLine("asked " + observations);
    recorder.assertMatches("server-list");
  }

  /**
   * Guards against requests to draining backends after a mass restart, which happen if the stored
   * endpoint list is used before the current one arrives.
   */
  @Test
  void startWaitsForTheCurrentList() throws Exception {
    int[] ports = new int[2];
    for (int i = 0; i < 2; i++) {
      String name = "s" + i;
      ports[i] = listen(socket -> backends.serve(name, socket)).getLocalPort();
    }
    String knownList =
        listLine(3, true, endpoint("s0", "SERVING", ports[0]), endpoint("s1", "SERVING", ports[1]));
    String currentList =
        listLine(
            7, true, endpoint("s0", "DRAINING", ports[0]), endpoint("s1", "SERVING", ports[1]));
    int listPort = listen(endpointList::serve).getLocalPort();
    run(new ProxyServer(new ProxyConfig(Json.object(config(listPort, MAX_SOCKETS, knownList)))));
    try (Socket early = connect()) { // waits for the current list
      send(early, request("buy"));
      Thread.sleep(100);
      endpointList.send(currentList);
      recorder.recordLine(
          "came early: "
              + readAnswer(early)
              + ", then "
              + servingBackends()
              + ", asked "
              + observations);
    }
    server.shutdown();
    endpointList.clear();
    run(new ProxyServer(new ProxyConfig(Json.object(config(listPort, MAX_SOCKETS, knownList)))));
    recorder.recordLine("discovery says nothing: " + call(request("buy")));
    Thread.sleep(SILENT_WATCH_MILLIS);
    recorder.recordLine("for 3 s: " + servingBackends());
    endpointList.send(currentList);
    Thread.sleep(LIST_CHANGE_MILLIS);
    recorder.recordLine("and then: " + servingBackends());
    recorder.assertMatches("server-starts");
  }

  /**
   * An old change or snapshot does not bring a drained backend back; of repeated entries the last
   * one counts; 40 malformed entries of 60 are one log line; and if the list ends within a line or
   * discovery refuses connections, the last valid list stays in use.
   */
  @Test
  void lastValidListStaysInUseAfterBrokenOnes() throws Exception {
    String[] endpoints = {startBackend("s0"), startBackend("s1")};
    String draining = endpoints[0].replace("SERVING", "DRAINING");
    LogRecording log = recordLog(Level.WARNING);
    try (log) {
      endpointList.send(listLine(5, true, endpoints));
      startProxy(MAX_SOCKETS, "{}");
      sendListLine(listLine(6, false, draining));
      sendListLine(listLine(4, false, endpoints[0]));
      endpointList.closeWatch();
      sendListLine(listLine(3, true, endpoints));
      sendListLine(listLine(7, false, endpoints[0]));
      sendListLine(listLine(8, true, endpoints[0], endpoints[1], draining));
      String[] manyEndpoints = new String[60];
      for (int i = 0; i < 60; i++) {
        manyEndpoints[i] = i % 3 == 0 ? endpoints[i % 2] : "{'uid':'b" + i + "','state':'SERVING'}";
      }
      endpointList.send(listLine(9, true, manyEndpoints));
      Thread.sleep(LIST_CHANGE_MILLIS);
      recorder.recordLine("60 entries, 40 broken: " + servingBackends());
      endpointList.sendPartOf(listLine(10, true, endpoints[0]));
      Thread.sleep(600);
      recorder.recordLine("cut off: " + servingBackends());
      listeners.get(listeners.size() - 1).close(); // the listener of the endpoint list
      endpointList.closeWatch();
      Thread.sleep(1000);
      recorder.recordLine("refuses: " + servingBackends());
    }
    recorder.assertMatches("server-list-trouble");
  }

  /**
   * Guards against SIGHUP ending the process. Requests in flight and learnt costs are kept through
   * a reload, also of an invalid file.
   */
  @Test
  void hangupReloadsTheConfiguration() throws Exception {
    startProxyWithBackends(2);
    Path file = Files.createTempFile("wheattrack", ".json");
    Signals.onHangup(() -> server.reload(file));
    LogRecording log = recordLog(Level.INFO);
    try (log;
        Socket slow = connect()) {
      backends.enqueue(BackendAction.SLOW_OK);
      send(slow, request("pay"));
      awaitFirstRequest();
      int secondListPort =
          listen(
                  socket -> {
                    observations.add("second list");
                    endpointList.serve(socket);
                  })
              .getLocalPort();
      String newEndpoint = startBackend("s2");
      for (String text :
          new String[] {
            config(secondListPort, 512, "{}"),
            "{'discovery'",
            "",
            config(secondListPort).replace("127.0.0.1:" + secondListPort, "list:1"),
            config(secondListPort).replace("read_like", "any")
          }) {
        Files.writeString(file, text);
        new ProcessBuilder("kill", "-HUP", "" + ProcessHandle.current().pid()).start().waitFor();
        Thread.sleep(200);
      }
      recorder.recordLine("open meanwhile: " + readAnswer(slow));
      endpointList.send(listLine(1, true, newEndpoint));
      Thread.sleep(200);
      observations.removeIf("closed"::equals);
      recorder.recordLine("asked " + observations + ", now " + servingBackends());
    } finally {
      Files.delete(file);
    }
    recorder.assertMatches("server-rereads");
  }

  private void sendListLine(String line) throws Exception {
    endpointList.send(line);
    Thread.sleep(LIST_CHANGE_MILLIS);
    recorder.recordLine(line.replaceAll("127.0.0.1:\\d+", "PORT") + "\n  " + servingBackends());
  }

  /** Sends ten requests, and returns the distinct answers, which name the backends that serve. */
  private String servingBackends() throws IOException {
    Set<String> names = new TreeSet<>();
    for (int i = 0; i < 10; i++) {
      names.add(call(request("buy")));
    }
    return names.toString();
  }

  /** With few descriptors idle clients are closed, and surplus ones are rejected immediately. */
  @Test
  void fewDescriptorsRejectSurplusClients() throws Exception {
    endpointList.send(listLine(1, true, startBackend("s0")));
    startProxy(64, "{}");
    List<Socket> open = new ArrayList<>();
    Socket regularClient = connect();
    recorder.recordLine("usual: " + call(regularClient, request("buy")));
    for (int i = 0; i < SILENT_CLIENTS; i++) {
      open.add(connect());
      Thread.sleep(i == 14 ? 300 : 0);
    }
    recorder.recordLine(
        "beside 27 that say nothing: "
            + call(request("buy"))
            + ", usual: "
            + call(regularClient, request("buy")));
    regularClient.close();
    int served = 0;
    int rejected = 0;
    for (int i = 0; i < BURST_CLIENTS; i++) {
      backends.enqueue(BackendAction.SLOW_OK);
      open.add(connect());
      send(open.get(SILENT_CLIENTS + i), request("buy"));
    }
    for (Socket socket : open.subList(SILENT_CLIENTS, SILENT_CLIENTS + BURST_CLIENTS)) {
      if (readAnswer(socket).startsWith("200")) {
        served++;
      } else {
        rejected++;
      }
    }
    backends.clearScript();
    recorder.recordLine("of 30 at once all answered, some denied: " + (served > 0 && rejected > 0));
    for (Socket socket : open) {
      socket.close();
    }
    recorder.recordLine("after: " + call(request("buy")));
    recorder.assertMatches("server-few-sockets");
  }
}
