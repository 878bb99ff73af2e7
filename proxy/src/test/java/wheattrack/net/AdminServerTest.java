package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.admin.AdminServer;
import wheattrack.admin.MetricsFormat;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;
import wheattrack.core.RequestCounters;

/**
 * The operators' HTTP server: its responses, its metrics against what clients saw, and connections
 * that are held open.
 */
class AdminServerTest extends ProxyTestHarness {
  private void serveWithAdmin(int backendCount) throws Exception {
    String[] entries = new String[backendCount];
    for (int i = 0; i < backendCount; i++) {
      entries[i] = ready("s" + i);
    }
    news.add(told(1, true, entries));
    serve(1024, "{},'admin':'127.0.0.1:0'".replace('\'', '"'));
  }

  /** Sends a request to the admin address; the response as the harness prints it. */
  private String callAdmin(String request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.adminPort())) {
      socket.setSoTimeout(1000);
      return call(socket, request);
    }
  }

  private String metrics() throws IOException {
    return callAdmin("GET /status/metrics HTTP/1.1\r\n\r\n");
  }

  @Test
  void responses() throws Exception {
    serveWithAdmin(1);
    for (String request :
        new String[] {
          "GET /status HTTP/1.1\r\n\r\n",
          "GET /status?x=1 HTTP/1.0\r\n\r\n",
          "GET /ready HTTP/1.1\r\n\r\n",
          "PUT /status HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
          "\u0001\r\n\r\n",
          "GET /status HTTP/1.1\r\nA: " + "1".repeat(20_000) + "\r\n\r\n"
        }) {
      w.say(
          request.substring(0, Math.min(30, request.length())).replaceAll("[^ -~]+", "|")
              + " -> "
              + callAdmin(request));
    }
    w.matches("admin-calls");
  }

  /**
   * Every final answer to a request is counted once, under its class; attempts count if they were
   * written completely.
   */
  @Test
  void metricsAreWhatHappened() throws Exception {
    serveWithAdmin(4);
    for (String backendActions : new String[] {"ok", "ok", "full ok", "500 500 500"}) {
      script.addAll(List.of(backendActions.split(" ")));
      call(request("buy"));
    }
    script.add("500");
    call(request("pay"));
    script.add("404");
    call(request("mark"));
    script.addAll(List.of("slow", "ok"));
    try (Socket socket = connect()) {
      send(socket, request("buy"));
      Thread.sleep(100);
      w.say("one out: " + metrics().replace("\n", ", "));
      answer(socket);
    }
    String finalMetrics = metrics();
    w.say("none out: " + finalMetrics.replace("\n", ", "));
    assertTrue(
        finalMetrics.contains("proxy.attempts:" + came.get() + "|c"),
        came.get() + " against " + finalMetrics);
    w.matches("admin-figures");
  }

  /**
   * Connections that are held open without a complete request, more than may be open at once, keep
   * no other request from its response.
   */
  @Test
  void heldConnectionsGiveWay() throws Exception {
    serveWithAdmin(1);
    List<Socket> heldSockets = new ArrayList<>();
    for (int i = 0; i < 3 * AdminServer.MAX_CONNECTIONS; i++) {
      Socket socket = new Socket("127.0.0.1", server.adminPort());
      send(socket, "GET /status HT");
      heldSockets.add(socket);
      assertEquals("200 SERVING close", callAdmin("GET /status HTTP/1.1\r\n\r\n"));
    }
    for (Socket socket : heldSockets) {
      socket.close();
    }
  }

  @Test
  void classNamesAreEscapedAndBounded() {
    RequestCounters counters = new RequestCounters();
    counters.countAnswer("a b:c|d\n", RequestCounters.FinalAnswer.DONE);
    for (int i = 0; i < 1000; i++) {
      counters.countAnswer("n" + i, RequestCounters.FinalAnswer.REJECTED);
    }
    String text = new MetricsFormat(counters, () -> 0, () -> 0, () -> 0, () -> 0).text();
    assertEquals("proxy.served.a_b_c_d_:1|c", text.split("\n")[0]);
    assertTrue(
        counters.answersByClass().size() <= 257, "names kept: " + counters.answersByClass().size());
    assertTrue(text.contains("proxy.refused.further:745|c"), text.substring(text.length() - 400));
  }

  @Test
  void addressInUseIsInvalidConfiguration() throws Exception {
    serveWithAdmin(1);
    String secondConfig = config(1, 1024, "{},'admin':'127.0.0.1:" + server.adminPort() + "'");
    InvalidConfigurationException exception =
        assertThrows(
            InvalidConfigurationException.class,
            () -> new ProxyServer(new ProxyConfig(Json.object(secondConfig))));
    assertTrue(exception.getMessage().startsWith("admin: "), exception.getMessage());
  }
}
