package independent;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Backends send some answers a second time, some milliseconds late, while nothing else waits on the
 * connection. A client must never get an answer that was made for another request.
 */
final class LateSecondAnswer {
  private static final int CLIENTS = 16;
  private static final double ONE_WAY_MILLIS = 15;
  private static final double COPIED_SHARE = 0.1;
  private static final int MIN_LATE_MILLIS = 5;
  private static final int MAX_LATE_MILLIS = 15;
  private static final long LENGTH_MILLIS = 40_000;

  private final Rig rig;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger notServed = new AtomicInteger();
  private final AtomicInteger copies = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();

  private LateSecondAnswer(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    Rig.play(args, rig -> new LateSecondAnswer(rig).run());
  }

  /** The same menu for everybody; the orders of one pupil for nobody else. */
  private static String answerFor(String target) {
    return "answer to " + target;
  }

  private void handle(Backend.Connection connection, Backend.Request request) throws Exception {
    Random random = new Random();
    Thread.sleep(3 + random.nextInt(8));
    rig.record("run " + request.id() + " " + request.target());
    String answer = Backend.ok(answerFor(request.target()));
    connection.send(answer);
    if (Rig.TROUBLE && random.nextDouble() < COPIED_SHARE) {
      int late = MIN_LATE_MILLIS + random.nextInt(MAX_LATE_MILLIS - MIN_LATE_MILLIS + 1);
      Thread.sleep(late);
      if (!connection.isRequestWaiting()) {
        connection.send(answer);
        copies.incrementAndGet();
        rig.record("second answer to " + request.id() + " " + late + " ms late");
      }
    }
  }

  private int run() throws Exception {
    List<AutoCloseable> servers = new ArrayList<>();
    Discovery discovery = new Discovery(rig);
    for (int i = 0; i < 4; i++) {
      Backend backend = new Backend("b" + i, this::handle);
      DelayedLink link = new DelayedLink(backend.port(), i < 2 ? 0.25 : ONE_WAY_MILLIS);
      servers.add(backend);
      servers.add(link);
      String uid = "s-000" + i;
      String zone = i < 2 ? "sherbrooke" : "montreal";
      discovery.set(uid, Discovery.entry(uid, link.port(), zone, 0, "SERVING", 0));
    }
    Rig.ProxyProcess proxy = rig.newProxy("n1");
    proxy.configure(
        discovery.port(),
        Sites.settings(
            "[\"sherbrooke\",\"montreal\"]", 1, 0,
            Sites.ruleSet("view-menu", "read_like", "all", 600, 1200, 5000),
            Sites.ruleSet("order-status", "read_like", "all", 750, 3000, 5000)));
    proxy.start();
    proxy.awaitReady();
    long end = System.nanoTime() + LENGTH_MILLIS * 1_000_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Thread thread = new Thread(() -> sendUntil(end, proxy.port, number));
      thread.start();
      clients.add(thread);
    }
    for (Thread client : clients) {
      client.join();
    }
    rig.say(
        "served " + served + ", not served " + notServed + ", second answers " + copies
            + ", foreign answers " + foreign);
    if (!proxy.isAlive() || served.get() < 500) {
      return Rig.COULD_NOT_RUN;
    }
    return foreign.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private void sendUntil(long end, int port, int number) {
    Random random = new Random(number);
    try (Client client = new Client(port)) {
      while (System.nanoTime() < end) {
        boolean isMenu = random.nextBoolean();
        int id = ids.incrementAndGet();
        String target =
            isMenu ? "/view-menu/day-" + random.nextInt(5) : "/order-status/pupil-" + id;
        request(client, target, id);
        Thread.sleep(5 + random.nextInt(60));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void request(Client client, String target, int id) {
    String name = target.split("/")[1];
    String timeout = name.equals("view-menu") ? "1.2" : "3.0";
    String headers =
        "Request-Id: q" + id + "\r\nRequest-Class: " + name + "\r\nRequest-Timeout: " + timeout
            + "\r\nWork-Hint: " + (name.equals("view-menu") ? 28000 : 20000) + "\r\n";
    try {
      Client.Answer answer = client.exchange(Client.get(target, headers));
      rig.record("answer " + answer.status + " to q" + id + " " + target + ": " + answer.body);
      if (answer.status != 200) {
        notServed.incrementAndGet();
      } else if (answer.body.equals(answerFor(target))) {
        served.incrementAndGet();
      } else if (foreign.incrementAndGet() <= 5) {
        rig.say("FOREIGN: q" + id + " asked " + target + " and got: " + answer.body);
      }
    } catch (IOException e) {
      rig.record("no answer to q" + id + ": " + e);
      notServed.incrementAndGet();
    }
  }
}
