package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Load reports over sockets, from backends that report a fixed load whatever they do. */
class LoadReportsTest extends ProxyTestHarness {
  private final AtomicInteger loadProbes = new AtomicInteger();

  private String startReportingBackend(String name, int reportedInFlight) throws Exception {
    int port = open(socket -> answerWithReports(name, reportedInFlight, socket)).getLocalPort();
    return entry(name, "SERVING", port);
  }

  private void answerWithReports(String name, int reportedInFlight, Socket socket)
      throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    String load =
        "{\"rif\":" + reportedInFlight + ",\"q\":" + Math.max(0, reportedInFlight - 1) + "}";
    for (String head = head(in); head != null; head = head(in)) {
      in.readNBytes(length(head));
      boolean isLoadProbe = head.startsWith("GET /status/load ");
      loadProbes.addAndGet(isLoadProbe ? 1 : 0);
      String body = isLoadProbe ? load : name;
      send(
          socket,
          "HTTP/1.1 200 OK\r\nServer-Load: "
              + (reportedInFlight > 30 ? "{no JSON" : load)
              + "\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
    }
  }

  private String configuration(String reportMode, int discoveryPort) {
    return config(discoveryPort, 1024, "{}")
        .replace(
            "\"limits\":{\"maxD",
            "\"report\":{\"how\":\""
                + reportMode
                + "\",\"fields\":[\"rif\",\"q\"]},"
                + "\"limits\":{\"probing\":true,\"maxD");
  }

  /** Starts backends s0, s1, … that report these loads, and a proxy; says discovery's port. */
  private int serve(String reportMode, String loadHeader, int... reportedInFlight)
      throws Exception {
    String[] entries = new String[reportedInFlight.length];
    for (int i = 0; i < reportedInFlight.length; i++) {
      entries[i] = startReportingBackend("s" + i, reportedInFlight[i]);
    }
    news.add(told(1, true, entries));
    int discoveryPort = open(this::list).getLocalPort();
    serve(configuration(reportMode, discoveryPort), loadHeader);
    return discoveryPort;
  }

  /** Reports are switched on by a reload: from then on probes ask for load, not for health. */
  @Test
  void reloadSwitchesLoadProbesOn(@TempDir Path dir) throws Exception {
    int discoveryPort = serve("none", "", 20, 0);
    countAnswersFrom("s1", 5);
    assertEquals(0, loadProbes.get());
    server.reload(
        Files.writeString(dir.resolve("proxy.json"), configuration("probe", discoveryPort)));
    countAnswersFrom("s1", 5);
    assertEquals(20, countAnswersFrom("s1", 20));
    assertTrue(loadProbes.get() >= 20, loadProbes + " probes");
  }

  /** Sends requests one after another and counts those that this backend has answered. */
  private int countAnswersFrom(String backend, int requests) throws Exception {
    int answers = 0;
    for (int i = 0; i < requests; i++) {
      answers += call(request("buy")).equals("200 " + backend) ? 1 : 0;
    }
    return answers;
  }

  /** Backends are probed before each request, and the busy one is passed over. */
  @Test
  void probedLoadSteersRequests() throws Exception {
    serve("probe", "", 20, 0);
    assertEquals(20, countAnswersFrom("s1", 20));
    assertTrue(loadProbes.get() >= 20, loadProbes + " probes");
  }

  /** Reports in the header that the operators name steer requests without any probe. */
  @Test
  void headerReportsSteerRequests() throws Exception {
    serve("answers", "Server-Load", 20, 0, 0);
    int answers = countAnswersFrom("s0", 30);
    assertTrue(answers <= 3, answers + " of 30 went to the busy one");
    assertEquals(0, loadProbes.get());
  }

  /** A malformed header is ignored, and its answer is passed on. */
  @Test
  void malformedHeaderIsIgnored() throws Exception {
    serve("answers", "Server-Load", 40);
    assertEquals(10, countAnswersFrom("s0", 10));
  }
}
