package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.readAnswer;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.send;

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
import wheattrack.core.BackendConnectionCounters;
import wheattrack.core.ClientConnectionCounters;
import wheattrack.core.MemoryBudget;
import wheattrack.core.RequestCounters;

/** The admin address: its answers, its metrics, and connections that stay idle. */
class AdminServerTest extends ProxyTestHarness {
  private static final int ADMIN_TIMEOUT_MILLIS = 1000;

  /** Sends a request to the admin address, and returns its answer. */
  private String callAdmin(String text) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.adminPort())) {
      socket.setSoTimeout(ADMIN_TIMEOUT_MILLIS);
      return call(socket, text);
    }
  }

  private String requestMetrics() throws IOException {
    return callAdmin("GET /status/metrics HTTP/1.1\r\n\r\n");
  }

  @Test
  void eachAdminRequestIsAnswered() throws Exception {
    startProxyWithAdmin(1);
    for (String request :
        new String[] {
          "GET /status HTTP/1.1\r\n\r\n",
          "GET /status?x=1 HTTP/1.0\r\n\r\n",
          "GET /ready HTTP/1.1\r\n\r\n",
          "PUT /status HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
          "\u0001\r\n\r\n",
          "GET /status HTTP/1.1\r\nA: " + "1".repeat(20_000) + "\r\n\r\n"
        }) {
      recorder.recordLine(
          request.substring(0, Math.min(30, request.length())).replaceAll("[^ -~]+", "|")
              + " -> "
              + callAdmin(request));
    }
    recorder.assertMatches("admin-calls");
  }

  /** The metrics with N for those that depend on the system or on the backends selected. */
  private static String withoutVarying(String metrics) {
    return metrics.replaceAll("(memory_used|memory_limit|opened.\\w+):[1-9][0-9]*", "$1:N");
  }

  /** Each final answer is counted once, under its class; completely sent attempts are counted. */
  @Test
  void metricsMatchTheAnswersOfClients() throws Exception {
    startProxyWithAdmin(4);
    for (List<BackendAction> actions :
        List.of(
            List.of(BackendAction.OK),
            List.of(BackendAction.OK),
            List.of(BackendAction.NOT_STARTED_503, BackendAction.OK),
            List.of(
                BackendAction.STATUS_500, BackendAction.STATUS_500, BackendAction.STATUS_500))) {
      backends.enqueue(actions.toArray(BackendAction[]::new));
      call(request("buy"));
    }
    backends.enqueue(BackendAction.STATUS_500);
    call(request("pay"));
    backends.enqueue(BackendAction.STATUS_404);
    call(request("mark"));
    backends.enqueue(BackendAction.SLOW_OK, BackendAction.OK);
    try (Socket socket = connect()) {
      send(socket, request("buy"));
      Thread.sleep(100);
      recorder.recordLine("one out: " + withoutVarying(requestMetrics()).replace("\n", ", "));
      readAnswer(socket);
    }
    String finalMetrics = requestMetrics();
    recorder.recordLine("none out: " + withoutVarying(finalMetrics).replace("\n", ", "));
    assertTrue(
        finalMetrics.contains("proxy.attempts:" + requestsReceived.get() + "|c"),
        "expected " + requestsReceived.get() + " attempts, got " + finalMetrics);
    recorder.assertMatches("admin-figures");
  }

  /** Idle admin connections, three times as many as are allowed, delay no answer. */
  @Test
  void idleConnectionsDelayNoAnswer() throws Exception {
    startProxyWithAdmin(1);
    List<Socket> idleSockets = new ArrayList<>();
    for (int i = 0; i < 3 * AdminServer.MAX_CONNECTIONS; i++) {
      Socket socket = new Socket("127.0.0.1", server.adminPort());
      send(socket, "GET /status HT");
      idleSockets.add(socket);
      assertEquals("200 SERVING close", callAdmin("GET /status HTTP/1.1\r\n\r\n"));
    }
    for (Socket socket : idleSockets) {
      socket.close();
    }
  }

  /** At most 256 classes have counters of their own; all others are counted as "further". */
  @Test
  void classNamesAreEscapedAndBounded() {
    RequestCounters counters = new RequestCounters();
    counters.countAnswer("a b:c|d\n", RequestCounters.FinalAnswer.DONE);
    for (int i = 0; i < 1000; i++) {
      counters.countAnswer("n" + i, RequestCounters.FinalAnswer.REJECTED);
    }
    String text =
        new MetricsFormat(
                counters,
                new ClientConnectionCounters(),
                new BackendConnectionCounters(),
                MemoryBudget.unlimited(),
                () -> 0,
                () -> 0,
                () -> 0,
                () -> 0,
                () -> 0)
            .text();
    assertEquals("proxy.served.a_b_c_d_:1|c", text.split("\n")[0]);
    assertTrue(
        counters.answersByClass().size() <= 257,
        "classes with counters: " + counters.answersByClass().size());
    assertTrue(text.contains("proxy.refused.further:745|c"), text.substring(text.length() - 400));
  }

  @Test
  void addressInUseIsAConfigurationError() throws Exception {
    startProxyWithAdmin(1);
    String sameAddress = config(1, 1024, "{},'admin':'127.0.0.1:" + server.adminPort() + "'");
    InvalidConfigurationException error =
        assertThrows(
            InvalidConfigurationException.class,
            () -> new ProxyServer(new ProxyConfig(Json.object(sameAddress))));
    assertTrue(error.getMessage().startsWith("admin: "), error.getMessage());
  }
}
