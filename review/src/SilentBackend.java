import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One backend of six stands still for 12 s (SIGSTOP) while clients send requests with long bodies.
 * Each request whose last byte has reached the proxy's machine must have its final answer at most
 * half a second after its time.
 */
final class SilentBackend {
  private static final int SOUND_BACKENDS = 5;
  private static final int REQUESTS = 24;
  private static final double SILENT_MS = 12_000;
  private static final double TIMEOUT_MS = 2_500; // of the rule set and of each request
  private static final double SLACK_MS = 500 + 50; // by the pages
  private static final int MAX_BODY = 6 << 20; // bytes; the pages allow 32 MB
  private static final int SENT_AT_ONCE = 2 << 20; // bytes; the system takes more than that unread

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

  /** Two arguments: the case. None: one backend as a process of its own, which prints its port. */
  public static void main(String[] args) throws Exception {
    if (args.length == 0) {
      System.out.println(new Rig.Backend("s-6", SilentBackend::serve).port);
      Rig.sleep(110_000);
      return;
    }
    Rig rig = new Rig(args);
    Process backend = null;
    try {
      backend =
          new ProcessBuilder(
                  System.getProperty("java.home") + "/bin/java",
                  "-Xmx256m",
                  "-cp",
                  System.getProperty("java.class.path"),
                  "SilentBackend")
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      Process started = backend;
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
      run(rig, backend);
    } catch (Exception e) {
      rig.log("cannot run: " + e);
      if (backend != null) {
        backend.destroyForcibly();
      }
      rig.end(2, "the case could not run: " + e);
    }
  }

  private static void serve(Rig.Backend self, Socket socket, Rig.Message request) throws Exception {
    Rig.sleep(10);
    String text = "answer for " + request.header("request-id");
    Rig.Backend.answer(socket, 200, "", Rig.ascii(text));
  }

  private record Result(String id, double sentAt, double answeredAt, String answer, boolean taken) {}

  private static void run(Rig rig, Process stopped) throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    for (int i = 1; i <= SOUND_BACKENDS; i++) {
      int port = new Rig.Backend("s-" + i, SilentBackend::serve).port;
      discovery.put("s-" + i, Rig.Discovery.entry("s-" + i, port, "waco-main", 0, "SERVING", 0, 1));
    }
    int stoppedPort = Integer.parseInt(stopped.inputReader().readLine());
    discovery.put("s-6", Rig.Discovery.entry("s-6", stoppedPort, "waco-main", 0, "SERVING", 0, 1));
    Rig.Proxy proxy =
        rig.proxy(
            "n1",
            Rig.freePort(),
            discovery.port,
            "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}",
            SETTINGS);
    proxy.awaitReady();
    warmUp(rig, proxy);
    if (rig.trouble) {
      signal(rig, stopped, "STOP");
    }
    Queues queues = new Queues(proxy.port);
    List<Result> results = new CopyOnWriteArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = "long-" + i;
      threads.add(Rig.thread(id, () -> results.add(send(rig, proxy, queues, id))));
      Rig.sleep(40);
    }
    if (rig.trouble) {
      Rig.sleep(SILENT_MS);
      signal(rig, stopped, "CONT");
    }
    for (Thread thread : threads) {
      thread.join(30_000);
    }
    stopped.destroyForcibly();
    long lost = 0;
    long taken = 0;
    for (Result result : results) {
      double took = result.answeredAt - result.sentAt;
      boolean isLost = result.taken && took > TIMEOUT_MS + SLACK_MS;
      taken += result.taken ? 1 : 0;
      lost += isLost ? 1 : 0;
      rig.log(
          result.id + ": " + result.answer + " " + Math.round(took) + " ms after its last byte"
              + (result.taken ? "" : ", the last byte had not reached the proxy's machine")
              + (isLost ? ", LOST" : ""));
    }
    if (results.size() < REQUESTS || taken < REQUESTS / 2) {
      rig.end(2, "too few requests: " + results.size() + ", taken " + taken);
    }
    rig.end(
        lost > 0 ? 1 : 0,
        lost + " of " + taken + " requests were taken and had no answer 0.5 s after their time");
  }

  private static void signal(Rig rig, Process process, String signal) throws Exception {
    rig.log("backend s-6 gets SIG" + signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Usual requests, so that the proxy has met each backend and holds connections to it. */
  private static void warmUp(Rig rig, Rig.Proxy proxy) throws Exception {
    int served = 0;
    for (int i = 0; i < 60; i++) {
      try (Rig.Client client = new Rig.Client(proxy.port, 4000)) {
        Rig.Message answer =
            client.call(
                "GET", "/look-up/x", "Request-Id: warm-" + i + "\r\nRequest-Class: look-up\r\n", null);
        served += answer != null && answer.status == 200 ? 1 : 0;
      }
      Rig.sleep(15);
    }
    rig.log(served + " of 60 usual requests served");
    if (served < 50) {
      throw new IOException("the proxy does not serve");
    }
  }

  /**
   * Sends a request with a long body in chunks. Where the proxy's machine holds bytes that the proxy
   * does not read for 0.6 s, the body ends there: its last byte has then reached that machine.
   */
  private static Result send(Rig rig, Rig.Proxy proxy, Queues queues, String id)
      throws Exception {
    try (Rig.Client client = new Rig.Client(proxy.port, 25_000)) {
      String headers =
          "Request-Id: " + id + "\r\nRequest-Class: issue\r\nRequest-Timeout: 2.5\r\n"
              + "Transfer-Encoding: chunked\r\n";
      client.send("POST", "/issue/" + id, headers, null);
      int port = client.socket.getLocalPort();
      byte[] chunk = Rig.ascii("4000\r\n" + "x".repeat(0x4000) + "\r\n");
      int size = 0;
      boolean isHeldUp = false;
      while (size < MAX_BODY && !isHeldUp) {
        client.socket.getOutputStream().write(chunk);
        size += 0x4000;
        isHeldUp = size > SENT_AT_ONCE && staysUnread(queues, port);
      }
      client.socket.getOutputStream().write(Rig.ascii("0\r\n\r\n"));
      // the last byte counts as written once the client's machine holds none of them any more
      boolean taken = false;
      double end = Rig.ms() + 500;
      while (!taken && Rig.ms() < end) {
        taken = queues.next().unsent(port) == 0;
      }
      double sentAt = Rig.ms();
      rig.log(id + " sent, " + size + " bytes" + (taken ? "" : ", not taken completely"));
      String text;
      try {
        Rig.Message answer = Rig.Message.read(client.in);
        text = answer == null ? "closed with no answer" : "answer " + answer.status;
      } catch (IOException e) {
        text = e.toString();
      }
      return new Result(id, sentAt, Rig.ms(), text, taken);
    }
  }

  /** Whether bytes of the connection lie unread at the proxy's machine for 0.6 s. */
  private static boolean staysUnread(Queues queues, int clientPort) {
    double end = Rig.ms() + 600;
    while (queues.next().unread(clientPort) > 0) {
      if (Rig.ms() > end) {
        return true;
      }
    }
    return false;
  }

  /** The queues of the clients' connections to the proxy, as the system lists them. */
  private static final class Queues {
    private record Snapshot(double begunAt, Map<Integer, Long> unread, Map<Integer, Long> unsent) {
      /** Bytes that the proxy's machine has received and the proxy has not read. */
      long unread(int clientPort) {
        return unread.getOrDefault(clientPort, 0L);
      }

      /** Bytes that the client has written and the proxy's machine has not received. */
      long unsent(int clientPort) {
        return unsent.getOrDefault(clientPort, 0L);
      }
    }

    private final int proxyPort;
    private volatile Snapshot latest = new Snapshot(0, Map.of(), Map.of());

    /** Lists them all the time, on a thread of its own. */
    Queues(int proxyPort) {
      this.proxyPort = proxyPort;
      Rig.thread(
          "queues",
          () -> {
            while (true) {
              latest = read();
              Rig.sleep(2);
            }
          });
    }

    /** The first list that was begun after this call. */
    Snapshot next() {
      double now = Rig.ms();
      while (latest.begunAt <= now) {
        Rig.sleep(1);
      }
      return latest;
    }

    private Snapshot read() throws IOException {
      Snapshot snapshot = new Snapshot(Rig.ms(), new HashMap<>(), new HashMap<>());
      String proxy = String.format(":%04X", proxyPort);
      for (String file : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
        for (String line : Files.readAllLines(Path.of(file))) {
          if (!line.contains(proxy)) {
            continue;
          }
          String[] fields = line.trim().split("\\s+");
          String[] queues = fields[4].split(":");
          if (fields[1].endsWith(proxy)) {
            snapshot.unread.put(port(fields[2]), Long.parseLong(queues[1], 16));
          } else if (fields[2].endsWith(proxy)) {
            snapshot.unsent.put(port(fields[1]), Long.parseLong(queues[0], 16));
          }
        }
      }
      return snapshot;
    }

    private static int port(String address) {
      return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1), 16);
    }
  }
}
