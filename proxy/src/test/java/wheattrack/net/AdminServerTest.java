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
 * Where operators call: each answer, the figures against what clients saw, and callers that hold
 * on.
 */
class AdminServerTest extends ProxyTestHarness {
  private void serveWithAdmin(int backends) throws Exception {
    String[] entries = new String[backends];
    for (int i = 0; i < backends; i++) {
      entries[i] = ready("s" + i);
    }
    news.add(told(1, true, entries));
    serve(1024, "{},'admin':'127.0.0.1:0'".replace('\'', '"'));
  }

  private String ask(String text) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.adminPort())) {
      socket.setSoTimeout(1000);
      return call(socket, text);
    }
  }

  private String figures() throws IOException {
    return ask("GET /status/metrics HTTP/1.1\r\n\r\n");
  }

  @Test
  void calls() throws Exception {
    serveWithAdmin(1);
    for (String in :
        new String[] {
          "GET /status HTTP/1.1\r\n\r\n",
          "GET /status?x=1 HTTP/1.0\r\n\r\n",
          "GET /ready HTTP/1.1\r\n\r\n",
          "PUT /status HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
          "\u0001\r\n\r\n",
          "GET /status HTTP/1.1\r\nA: " + "1".repeat(20_000) + "\r\n\r\n"
        }) {
      w.say(
          in.substring(0, Math.min(30, in.length())).replaceAll("[^ -~]+", "|") + " -> " + ask(in));
    }
    w.matches("admin-calls");
  }

  /**
   * Every ending of a req is counted once, under its rule set; dispatches are those written whole.
   */
  @Test
  void figuresAreWhatHappened() throws Exception {
    serveWithAdmin(4);
    for (String acts : new String[] {"ok", "ok", "full ok", "500 500 500"}) {
      script.addAll(List.of(acts.split(" ")));
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
      w.say("one out: " + figures().replace("\n", ", "));
      answer(socket);
    }
    String end = figures();
    w.say("none out: " + end.replace("\n", ", "));
    assertTrue(end.contains("proxy.attempts:" + came.get() + "|c"), came.get() + " against " + end);
    w.matches("admin-figures");
  }

  /**
   * Holders of places, more than there are, keep nobody's answer waiting; clients' crowds neither.
   */
  @Test
  void holders() throws Exception {
    serveWithAdmin(1);
    List<Socket> held = new ArrayList<>();
    for (int i = 0; i < 3 * AdminServer.PLACES; i++) {
      Socket socket = new Socket("127.0.0.1", server.adminPort());
      send(socket, "GET /status HT");
      held.add(socket);
      assertEquals("200 SERVING close", ask("GET /status HTTP/1.1\r\n\r\n"));
    }
    for (Socket socket : held) {
      socket.close();
    }
  }

  @Test
  void namesAndBounds() {
    RequestCounters counts = new RequestCounters();
    counts.countAnswer("a b:c|d\n", RequestCounters.FinalAnswer.DONE);
    for (int i = 0; i < 1000; i++) {
      counts.countAnswer("n" + i, RequestCounters.FinalAnswer.REJECTED);
    }
    String text = new MetricsFormat(counts, () -> 0, () -> 0, () -> 0, () -> 0).text();
    assertEquals("proxy.served.a_b_c_d_:1|c", text.split("\n")[0]);
    assertTrue(
        counts.answersByClass().size() <= 257, "names kept: " + counts.answersByClass().size());
    assertTrue(text.contains("proxy.refused.further:745|c"), text.substring(text.length() - 400));
  }

  @Test
  void addressInUse() throws Exception {
    serveWithAdmin(1);
    String again = config(1, 1024, "{},'admin':'127.0.0.1:" + server.adminPort() + "'");
    InvalidConfigurationException fault =
        assertThrows(
            InvalidConfigurationException.class,
            () -> new ProxyServer(new ProxyConfig(Json.object(again))));
    assertTrue(fault.getMessage().startsWith("admin: "), fault.getMessage());
  }
}
