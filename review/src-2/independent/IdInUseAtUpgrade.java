package independent;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The process is replaced while it serves; both processes are one proxy. A bad client sends the id
 * of another client's open request. It is owed an error, and the request must not run again.
 */
final class IdInUseAtUpgrade {
  private static final int ROUNDS = 3;
  private static final int REQUESTS = 5;
  private static final long WORK_MILLIS = 800;
  private static final long LATER_MILLIS = 200;
  private static final long LONGEST_END_MILLIS = 3_700;

  private final Rig rig;
  private final AtomicInteger usualServed = new AtomicInteger();
  private final AtomicInteger badServed = new AtomicInteger();
  private final AtomicInteger badTurnedAway = new AtomicInteger();
  private final AtomicInteger twice = new AtomicInteger();

  /** By request id: how often a backend has run it. */
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  private IdInUseAtUpgrade(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    Rig.play(args, rig -> new IdInUseAtUpgrade(rig).run());
  }

  private void handle(Backend.Connection connection, Backend.Request request) throws Exception {
    int run = runs.merge(request.id(), 1, Integer::sum);
    rig.record("run " + run + " of " + request.id());
    if (run > 1 && twice.incrementAndGet() <= 5) {
      rig.say("TWICE: " + request.id() + " is run " + run + " times");
    }
    Thread.sleep(WORK_MILLIS);
    connection.send(Backend.ok("saved: " + request.id()));
  }

  private int run() throws Exception {
    Discovery discovery = new Discovery(rig);
    for (int i = 0; i < 3; i++) {
      String uid = "s-000" + i;
      Backend backend = new Backend(uid, this::handle);
      discovery.set(uid, Discovery.entry(uid, backend.port(), "sherbrooke", 0, "SERVING", 0));
    }
    Rig.ProxyProcess running = rig.newProxy("n1");
    String settings =
        Sites.settings(
            "[\"sherbrooke\"]", 1, 0,
            Sites.ruleSet("view-menu", "read_like", "all", 600, 1200, 0),
            Sites.ruleSet("place-order", "non_idempotent", "all", 1000, 1200, 0));
    running.configure(discovery.port(), settings);
    running.start();
    running.awaitReady();
    for (int round = 0; round < ROUNDS; round++) {
      running = play(round, running, discovery, settings);
    }
    rig.say(
        "usual requests served " + usualServed + "; requests with an id in use: turned away "
            + badTurnedAway + ", served " + badServed + "; runs of an open request a second time "
            + twice);
    if (usualServed.get() < ROUNDS * REQUESTS) {
      return Rig.COULD_NOT_RUN;
    }
    return twice.get() + badServed.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  /** One replacement of the process; returns the process that goes on. */
  private Rig.ProxyProcess play(
      int round, Rig.ProxyProcess older, Discovery discovery, String settings) throws Exception {
    Rig.ProxyProcess newer = older;
    if (Rig.TROUBLE) {
      newer = rig.newProcessOf(older, "n1-" + (round + 1));
      newer.configure(discovery.port(), settings);
      newer.start();
      newer.awaitStatus();
    }
    Client[] usual = new Client[REQUESTS];
    for (int i = 0; i < REQUESTS; i++) {
      usual[i] = new Client(older.port);
      usual[i].connect();
    }
    Thread.sleep(LATER_MILLIS);
    for (int i = 0; i < REQUESTS; i++) {
      usual[i].socket().getOutputStream().write(order(round, i));
    }
    Thread.sleep(LATER_MILLIS);
    if (Rig.TROUBLE) {
      older.signal("TERM");
    }
    Thread.sleep(LATER_MILLIS);
    for (int i = 0; i < REQUESTS; i++) {
      sendAgain(older.port, round, i);
    }
    for (int i = 0; i < REQUESTS; i++) {
      Client.Answer answer = usual[i].readAnswer();
      rig.record("answer " + answer.status + " to the usual client of " + id(round, i));
      usualServed.addAndGet(answer.status == 200 ? 1 : 0);
      usual[i].close();
    }
    if (Rig.TROUBLE) {
      rig.record("the older process has ended with " + older.awaitEnd(LONGEST_END_MILLIS));
    }
    return newer;
  }

  private static String id(int round, int number) {
    return "q" + round + number;
  }

  private static byte[] order(int round, int number) {
    return Client.post(
        "/place-order",
        "Request-Id: " + id(round, number) + "\r\nRequest-Class: place-order\r\n"
            + "Request-Timeout: 1.2\r\n",
        "soup");
  }

  private void sendAgain(int port, int round, int number) {
    Discovery.start(
        "bad client",
        () -> {
          try (Client client = new Client(port)) {
            Client.Answer answer = client.exchange(order(round, number));
            rig.record("answer " + answer.status + " to the bad client of " + id(round, number));
            (answer.status == 200 ? badServed : badTurnedAway).incrementAndGet();
          } catch (IOException e) {
            rig.record("close to the bad client of " + id(round, number) + ": " + e);
            badTurnedAway.incrementAndGet();
          }
        });
  }
}
