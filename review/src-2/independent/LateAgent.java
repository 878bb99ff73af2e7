package independent;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend begins to drain, and the proxy is told; the backend finishes what it has, and its
 * process ends some seconds later. Meanwhile a new configuration moves discovery to an agent that
 * learns of the drain later. Nothing new may go to the draining backend; an order that does is cut
 * off when the process ends.
 */
final class LateAgent {
  private static final int CLIENTS = 16;
  private static final long GRACE_MILLIS = 500 + 50;
  private static final long LATE_MILLIS = 3_000;
  private static final long DRAIN_MILLIS = 2_000;
  private static final long WORK_MILLIS = 80;

  private final Rig rig;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger cutOff = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private final Set<Backend.Connection> working = ConcurrentHashMap.newKeySet();
  private volatile double toldAt = Double.MAX_VALUE;
  private volatile boolean isOver;

  private LateAgent(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    Rig.play(args, rig -> new LateAgent(rig).run());
  }

  private Backend.Handler handler(String uid, boolean drains) {
    return (connection, request) -> {
      rig.record("attempt " + request.id() + " at " + uid);
      if (drains && rig.millis() > toldAt + GRACE_MILLIS && late.incrementAndGet() <= 5) {
        rig.say(
            "DRAIN: " + request.id() + " came to " + uid + " "
                + Math.round(rig.millis() - toldAt) + " ms after the proxy was told");
      }
      if (drains) {
        working.add(connection);
      }
      Thread.sleep(WORK_MILLIS);
      connection.send(Backend.ok("order " + request.id() + " saved"));
      working.remove(connection);
    };
  }

  /** The process of the draining backend ends, which resets its connections. */
  private void end(Backend backend) throws IOException {
    rig.say("the draining backend ends with " + working.size() + " orders that it has begun");
    cutOff.set(working.size());
    backend.close();
    for (Backend.Connection connection : working) {
      connection.reset();
    }
  }

  private int run() throws Exception {
    Discovery first = new Discovery(rig);
    Discovery second = new Discovery(rig);
    List<Backend> backends = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String uid = "s-000" + i;
      Backend backend = new Backend(uid, handler(uid, i == 0));
      backends.add(backend);
      String entry = Discovery.entry(uid, backend.port(), "sherbrooke", 0, "SERVING", 0);
      first.set(uid, entry);
      second.set(uid, entry);
    }
    String settings =
        Sites.settings(
            "[\"sherbrooke\"]", 1, 0,
            Sites.ruleSet("view-menu", "read_like", "all", 600, 1200, 0),
            Sites.ruleSet("place-order", "non_idempotent", "all", 600, 1200, 0));
    Rig.ProxyProcess proxy = rig.newProxy("n1");
    proxy.configure(first.port(), settings);
    proxy.start();
    proxy.awaitReady();
    for (int i = 0; i < CLIENTS; i++) {
      Discovery.start("client", () -> send(proxy.port));
    }
    Thread.sleep(3000);
    String draining =
        Discovery.entry("s-0000", backends.get(0).port(), "sherbrooke", 0, "DRAINING", 0);
    first.set("s-0000", draining);
    toldAt = rig.millis();
    Thread.sleep(1000);
    if (Rig.TROUBLE) {
      proxy.configure(second.port(), settings);
      proxy.signal("HUP");
      first.retire();
    }
    Thread.sleep(DRAIN_MILLIS - 1000);
    end(backends.get(0));
    Thread.sleep(LATE_MILLIS - DRAIN_MILLIS);
    second.set("s-0000", draining);
    Thread.sleep(3000);
    isOver = true;
    Thread.sleep(300);
    rig.say(
        "served " + served + ", failed " + failed + ", attempts at the draining backend after the "
            + "grace " + late + ", orders cut off at its end " + cutOff);
    if (!proxy.isAlive() || served.get() < 200) {
      return Rig.COULD_NOT_RUN;
    }
    return late.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private void send(int port) {
    try (Client client = new Client(port)) {
      while (!isOver) {
        String id = "q" + ids.incrementAndGet();
        String headers =
            "Request-Id: " + id + "\r\nRequest-Class: place-order\r\n"
                + "Request-Timeout: 1.2\r\n";
        try {
          Client.Answer answer = client.exchange(Client.post("/place-order", headers, "soup"));
          rig.record("answer " + answer.status + " to " + id);
          served.addAndGet(answer.status == 200 ? 1 : 0);
          failed.addAndGet(answer.status == 502 || answer.status == 504 ? 1 : 0);
        } catch (IOException e) {
          rig.record("no answer to " + id + ": " + e);
        }
        Thread.sleep(20);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
