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

/** Load reports on sockets, from stand-ins that say they are busy or idle, whatever they do. */
class LoadReportsTest extends ProxyTestHarness {
  private final AtomicInteger probes = new AtomicInteger();

  private String reporting(String name, int holds) throws Exception {
    return entry(name, "SERVING", open(socket -> report(name, holds, socket)).getLocalPort());
  }

  private void report(String name, int holds, Socket socket) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    String load = "{\"rif\":" + holds + ",\"q\":" + Math.max(0, holds - 1) + "}";
    for (String head = head(in); head != null; head = head(in)) {
      in.readNBytes(length(head));
      boolean probe = head.startsWith("GET /status/load ");
      probes.addAndGet(probe ? 1 : 0);
      String body = probe ? load : name;
      send(
          socket,
          "HTTP/1.1 200 OK\r\nServer-Load: "
              + (holds > 30 ? "{no JSON" : load)
              + "\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
    }
  }

  private String how(String how, int list) {
    return config(list, 1024, "{}")
        .replace(
            "\"limits\":{\"maxD",
            "\"report\":{\"how\":\""
                + how
                + "\",\"fields\":[\"rif\",\"q\"]},"
                + "\"limits\":{\"probing\":true,\"maxD");
  }

  private int serve(String how, String header, int... holds) throws Exception {
    String[] entries = new String[holds.length];
    for (int i = 0; i < holds.length; i++) {
      entries[i] = reporting("s" + i, holds[i]);
    }
    news.add(told(1, true, entries));
    int list = open(this::list).getLocalPort();
    serve(how(how, list), header);
    return list;
  }

  /**
   * Reports switched on by SIGHUP: servers are asked for their load from then on, not for their
   * health.
   */
  @Test
  void switchedOn(@TempDir Path dir) throws Exception {
    int list = serve("none", "", 20, 0);
    at("s1", 5);
    assertEquals(0, probes.get());
    server.reload(Files.writeString(dir.resolve("proxy.json"), how("probe", list)));
    at("s1", 5);
    assertEquals(20, at("s1", 20));
    assertTrue(probes.get() >= 20, probes + " probes");
  }

  private int at(String name, int reqs) throws Exception {
    int there = 0;
    for (int i = 0; i < reqs; i++) {
      there += call(request("buy")).equals("200 " + name) ? 1 : 0;
    }
    return there;
  }

  /** Asked before each req, the busy one is passed over; a report with garbage tells nothing. */
  @Test
  void probesTell() throws Exception {
    serve("probe", "", 20, 0);
    assertEquals(20, at("s1", 20));
    assertTrue(probes.get() >= 20, probes + " probes");
  }

  /** The header is the operators' to name; nothing is asked. */
  @Test
  void answersTell() throws Exception {
    serve("answers", "Server-Load", 20, 0, 0);
    int there = at("s0", 30);
    assertTrue(there <= 3, there + " of 30 went to the busy one");
    assertEquals(0, probes.get());
  }

  /** Garbage in the header is no report and harms no answer. */
  @Test
  void garbageTellsNothing() throws Exception {
    serve("answers", "Server-Load", 40);
    assertEquals(10, at("s0", 10));
  }
}
