import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some good answers come twice: a second copy follows 8 ms behind, if nothing else waits on the
 * connection by then. Each client must get the answer made for its own request.
 */
final class SecondAnswer {
  private static final double ONE_WAY_MS = 2.6; // between two data centres of amman-transcribe
  private static final double COPY_AFTER_MS = 8;
  private static final int COPY_EVERY = 10; // answers of a backend
  private static final int CLIENTS = 12;
  private static final double RUN_MS = 20_000;

  private static final String SETTINGS =
      """
      {"balancers":1,"me":0,"discovery":"subscribe","zones":["amman-north"],"zone":0,
       "kinds":["std"],"tenants":[],"report":{"how":"none","fields":[]},
       "ruleSets":[
        {"name":"short-msg","effect":"read_like","group":"all","window":5000000,"value":2.0,
         "overdueValue":0.0,"responseTarget":300000,"clientTimeout":1500000,"stream":false},
        {"name":"long-msg","effect":"read_like","group":"all","window":5000000,"value":5.0,
         "overdueValue":0.0,"responseTarget":800000,"clientTimeout":1500000,"stream":false}],
       "limits":{"maxDispatches":6,"mayCancel":true,"mayDuplicate":false,"probing":false,
        "retryAfter":true,"maxRetryAfter":750000,"dialTimeout":150000,"idleClose":60000000},
       "rules":{"askEvery":10000000,"drainGrace":500000,"cold":8800000,"startCapacity":0.32,
        "fall":3000000,"fallMultiple":4.0}}
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
    AtomicInteger copies = new AtomicInteger();
    Map<String, String> sentBy = new ConcurrentHashMap<>(); // id to the client that sent it
    Rig.Handler handler = new CopyingHandler(rig, copies);
    Rig.Discovery discovery = rig.new Discovery();
    for (int i = 1; i <= 3; i++) {
      Rig.Backend backend = new Rig.Backend("s-" + i, handler);
      int port = new Rig.Link(backend.port, ONE_WAY_MS).port;
      discovery.put("s-" + i, Rig.Discovery.entry("s-" + i, port, "amman-north", 0, "SERVING", 0, 1));
    }
    Rig.Proxy proxy =
        rig.proxy(
            "n1",
            Rig.freePort(),
            discovery.port,
            "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}",
            SETTINGS);
    proxy.awaitReady();
    List<String> foreign = new CopyOnWriteArrayList<>();
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger other = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    double end = Rig.ms() + RUN_MS;
    Thread[] threads = new Thread[CLIENTS];
    for (int c = 0; c < CLIENTS; c++) {
      int number = c;
      threads[c] =
          Rig.thread(
              "client-" + c,
              () -> {
                Random random = new Random(number);
                Rig.Client client = new Rig.Client(proxy.port, 3000);
                for (int i = 0; Rig.ms() < end; i++) {
                  String id = String.format("c%02d-%06d", number, i);
                  sentBy.put(id, "client-" + number);
                  String headers =
                      "Request-Id: " + id + "\r\nRequest-Class: short-msg\r\n"
                          + "Request-Timeout: 1.5\r\nWork-Hint: 4000\r\n";
                  Rig.Message answer = null;
                  for (int tries = 0; tries < 2 && answer == null; tries++) {
                    try {
                      answer = client.call("GET", "/short-msg/" + id, headers, null);
                    } catch (java.io.IOException e) {
                      answer = null;
                    }
                    if (answer == null) {
                      client.close();
                      client = new Rig.Client(proxy.port, 3000);
                    }
                  }
                  if (answer == null) {
                    lost.incrementAndGet();
                    rig.log("client " + id + " got no answer");
                  } else if (answer.status != 200) {
                    other.incrementAndGet();
                  } else if (answer.text().equals("answer for " + id)) {
                    answered.incrementAndGet();
                  } else {
                    foreign.add(id);
                    rig.log("client " + id + " got 200 with the body: " + answer.text());
                  }
                  if (answer != null && "close".equals(answer.header("connection"))) {
                    client.close();
                    client = new Rig.Client(proxy.port, 3000);
                  }
                  Rig.sleep(20 + random.nextInt(60));
                }
              });
    }
    for (Thread thread : threads) {
      thread.join();
    }
    rig.log(
        answered + " answered rightly, " + other + " refused or failed, " + lost + " without answer, "
            + copies + " second copies sent, " + foreign.size() + " foreign answers");
    if (answered.get() < 100) {
      rig.end(2, "too few answers");
    }
    rig.end(
        foreign.isEmpty() ? 0 : 1,
        foreign.size() + " of " + (answered.get() + foreign.size())
            + " clients got the answer made for another request");
  }

  /** Answers after some milliseconds of work; a second copy follows some answers. */
  private record CopyingHandler(Rig rig, AtomicInteger copies) implements Rig.Handler {
    private static final AtomicInteger COUNT = new AtomicInteger();

    @Override
    public void handle(Rig.Backend backend, Socket socket, Rig.Message request) throws Exception {
      String id = request.header("request-id");
      Rig.sleep(4);
      byte[] body = Rig.ascii("answer for " + id);
      Rig.Backend.answer(socket, 200, "", body);
      if (!rig.trouble || COUNT.incrementAndGet() % COPY_EVERY != 0) {
        return;
      }
      double due = Rig.ms() + COPY_AFTER_MS;
      while (Rig.ms() < due) {
        if (socket.getInputStream().available() > 0) {
          return; // another request waits on the connection: no second copy
        }
        Rig.sleep(0.2);
      }
      if (socket.getInputStream().available() == 0) {
        Rig.Backend.answer(socket, 200, "", body);
        copies.incrementAndGet();
        rig.log(backend.name + " sent a second copy of the answer for " + id);
      }
    }
  }
}
