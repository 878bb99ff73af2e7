import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hundreds of clients stop in the middle of a request of 64 KiB and stay, until they get their
 * error or close. The process of the proxy must not end, and the usual clients must be answered.
 */
final class StalledBodies {
  private static final int STALLED_CLIENTS = 570;
  private static final int USUAL_CLIENTS = 20;
  private static final int DECLARED = 65_536; // bytes of a body, as allowed by the protocol page
  private static final int SENT = 65_500;
  private static final int PIECE = 8_000;
  private static final double PIECE_EVERY_MS = 30;
  private static final double RUN_MS = 45_000;

  private static final String SETTINGS =
      """
      {"balancers":1,"me":0,"discovery":"subscribe","zones":["waco-main"],"zone":0,
       "kinds":["std"],"tenants":[],"report":{"how":"none","fields":[]},
       "ruleSets":[
        {"name":"look-up","effect":"read_like","group":"all","window":5000000,"value":1.0,
         "overdueValue":0.3,"responseTarget":1000000,"clientTimeout":2500000,"stream":false},
        {"name":"issue","effect":"non_idempotent","group":"all","window":5000000,"value":10.0,
         "overdueValue":0.3,"responseTarget":1200000,"clientTimeout":2500000,"stream":false}],
       "limits":{"maxDispatches":4,"mayCancel":true,"mayDuplicate":true,"probing":false,
        "retryAfter":true,"maxRetryAfter":2000000,"dialTimeout":200000,"idleClose":60000000},
       "rules":{"askEvery":10000000,"drainGrace":500000,"cold":23000000,"startCapacity":0.13,
        "fall":1500000,"fallMultiple":4.0}}
      """;

  public static void main(String[] args) throws Exception {
    Rig rig = new Rig(args);
    try {
      run(rig);
    } catch (Exception e) {
      rig.log("cannot run: " + e);
      rig.end(2, "the case could not run: " + e);
    }
  }

  private static void run(Rig rig) throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    for (int i = 1; i <= 3; i++) {
      Rig.Backend backend =
          new Rig.Backend(
              "s-" + i,
              (self, socket, request) -> {
                Rig.sleep(20);
                Rig.Backend.answer(
                    socket, 200, "", Rig.ascii("answer for " + request.header("request-id")));
              });
      discovery.put(
          "s-" + i, Rig.Discovery.entry("s-" + i, backend.port, "waco-main", 0, "SERVING", 0, 1));
    }
    Rig.Proxy proxy =
        rig.proxy(
            "n1",
            Rig.freePort(),
            discovery.port,
            "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}",
            SETTINGS);
    proxy.awaitReady();
    double end = Rig.ms() + RUN_MS;
    Map<String, AtomicInteger> usual = new ConcurrentHashMap<>();
    for (int c = 0; c < USUAL_CLIENTS; c++) {
      int number = c;
      Rig.thread("usual", () -> usualClient(rig, proxy, "u" + number, end, usual));
    }
    Rig.sleep(3000);
    rig.log("before the disruption: usual clients " + new TreeMap<>(usual));
    Map<String, AtomicInteger> stalled = new ConcurrentHashMap<>();
    if (rig.trouble) {
      rig.log(STALLED_CLIENTS + " clients send " + SENT + " of " + DECLARED + " bytes and stay");
      for (int c = 0; c < STALLED_CLIENTS; c++) {
        int number = c;
        Rig.thread("stalled", () -> stalledClient(proxy, "b" + number, end, stalled));
      }
    }
    while (Rig.ms() < end && proxy.process.isAlive()) {
      Rig.sleep(500);
    }
    boolean isAlive = proxy.process.isAlive();
    rig.log("usual clients " + new TreeMap<>(usual));
    rig.log("stalled clients " + new TreeMap<>(stalled));
    if (usual.getOrDefault("200", new AtomicInteger()).get() < 100) {
      rig.end(2, "too few answers");
    }
    if (isAlive) {
      rig.end(0, "the process of the proxy is alive");
    }
    rig.end(
        1,
        "the process of the proxy has crashed, though no signal was sent to it: exit code "
            + proxy.process.exitValue());
  }

  private static void usualClient(
      Rig rig, Rig.Proxy proxy, String name, double end, Map<String, AtomicInteger> results)
      throws Exception {
    Rig.Client client = null;
    for (int i = 0; Rig.ms() < end && proxy.process.isAlive(); i++) {
      String headers =
          "Request-Id: " + name + "-" + i + "\r\nRequest-Class: look-up\r\n"
              + "Request-Timeout: 2.5\r\nWork-Hint: 20000\r\n";
      String result;
      try {
        if (client == null) {
          client = new Rig.Client(proxy.port, 4000);
        }
        Rig.Message answer = client.call("GET", "/look-up/x", headers, null);
        result = answer == null ? "closed" : Integer.toString(answer.status);
        if (answer == null || "close".equals(answer.header("connection"))) {
          client.close();
          client = null;
        }
      } catch (IOException e) {
        result = e.toString();
        client = null;
      }
      if (!"200".equals(result)) {
        rig.log("usual client " + name + "-" + i + ": " + result);
      }
      results.computeIfAbsent(result, key -> new AtomicInteger()).incrementAndGet();
      Rig.sleep(100);
    }
  }

  private static void stalledClient(
      Rig.Proxy proxy, String name, double end, Map<String, AtomicInteger> results) {
    for (int i = 0; Rig.ms() < end && proxy.process.isAlive(); i++) {
      double start = Rig.ms();
      String result;
      try (Rig.Client client = new Rig.Client(proxy.port, 8000)) {
        client.socket
            .getOutputStream()
            .write(
                Rig.ascii(
                    "POST /issue/x HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: " + name + "-"
                        + i + "\r\nRequest-Class: issue\r\nRequest-Timeout: 2.5\r\nContent-Length: "
                        + DECLARED + "\r\n\r\n"));
        for (int sent = 0; sent < SENT; sent += PIECE) {
          Rig.sleep(PIECE_EVERY_MS);
          client.socket.getOutputStream().write(new byte[Math.min(PIECE, SENT - sent)]);
        }
        Rig.Message answer = Rig.Message.read(client.in);
        result = answer == null ? "closed" : Integer.toString(answer.status);
      } catch (IOException e) {
        result = e.getClass().getSimpleName();
      }
      result += " after " + Math.round((Rig.ms() - start) / 1000) + " s";
      results.computeIfAbsent(result, key -> new AtomicInteger()).incrementAndGet();
      Rig.sleep(200);
    }
  }
}
