package independent;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new configuration adds two zones while the proxy serves, and backends of these zones join the
 * list. The class place-order carries a key; the backends of one zone drop its repeats. No request
 * may take effect in two zones.
 */
final class AddedZones {
  private static final int CLIENTS = 24;
  private static final double ERROR_SHARE = 0.6;
  private static final long LENGTH_MILLIS = 30_000;
  private static final String OLD_ZONES = "[\"sherbrooke\"]";
  private static final String NEW_ZONES = "[\"sherbrooke\",\"montreal\",\"quebec\"]";

  private final Rig rig;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger notServed = new AtomicInteger();

  /** By request id: by zone, how often its effect was made; repeats in a zone are dropped. */
  private final Map<String, Map<String, Integer>> effects = new ConcurrentHashMap<>();

  private AddedZones(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    Rig.play(args, rig -> new AddedZones(rig).run());
  }

  /**
   * A backend makes the effect of a request and then answers; a bad one answers some with an error.
   */
  private Backend.Handler handler(String zone, boolean isBad) {
    Random random = new Random();
    return (connection, request) -> {
      Thread.sleep(10);
      Map<String, Integer> zones =
          effects.computeIfAbsent(request.id(), id -> new ConcurrentHashMap<>());
      boolean isRepeat = zones.putIfAbsent(zone, 1) != null;
      boolean fails = isBad && random.nextDouble() < ERROR_SHARE;
      rig.record(
          (isRepeat ? "repeat dropped " : "effect ") + request.id() + " in " + zone
              + (fails ? ", answered 500" : ""));
      connection.send(
          fails ? Backend.status(500, "") : Backend.ok("order " + request.id() + " saved"));
    };
  }

  /** Backends of a zone join the list; the first of them is bad, if one is. */
  private void list(Discovery discovery, String zone, int first, int count, boolean hasBad)
      throws IOException {
    for (int i = first; i < first + count; i++) {
      String uid = String.format("s-%04x", i);
      Backend backend = new Backend(uid, handler(zone, hasBad && i == first));
      discovery.set(uid, Discovery.entry(uid, backend.port(), zone, zone.length(), "SERVING", 0));
    }
  }

  private String settings(String zones) {
    return Sites.settings(
        zones, 1, 0,
        Sites.ruleSet("place-order", "idempotency_key", "zone", 600, 1200, 5000),
        Sites.ruleSet("view-menu", "read_like", "all", 600, 1200, 5000));
  }

  private int run() throws Exception {
    Discovery discovery = new Discovery(rig);
    list(discovery, "sherbrooke", 0, 5, false);
    Rig.ProxyProcess proxy = rig.newProxy("n1");
    proxy.configure(discovery.port(), settings(Rig.TROUBLE ? OLD_ZONES : NEW_ZONES));
    proxy.start();
    proxy.awaitReady();
    Thread.sleep(2000);
    long end = System.nanoTime() + LENGTH_MILLIS * 1_000_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Thread thread = new Thread(() -> sendUntil(end, proxy.port));
      thread.start();
      clients.add(thread);
    }
    Thread.sleep(2000);
    if (Rig.TROUBLE) {
      proxy.configure(discovery.port(), settings(NEW_ZONES));
      proxy.signal("HUP");
      Thread.sleep(2000);
    }
    list(discovery, "montreal", 5, 3, true);
    list(discovery, "quebec", 8, 3, true);
    for (Thread client : clients) {
      client.join();
    }
    return judge(proxy);
  }

  private int judge(Rig.ProxyProcess proxy) {
    int twice = 0;
    int inNewZones = 0;
    for (Map.Entry<String, Map<String, Integer>> entry : effects.entrySet()) {
      inNewZones += entry.getValue().containsKey("sherbrooke") ? 0 : 1;
      if (entry.getValue().size() > 1 && ++twice <= 5) {
        rig.say("TWICE: " + entry.getKey() + " took effect in "
            + new TreeMap<>(entry.getValue()).keySet());
      }
    }
    rig.say(
        "served " + served + ", not served " + notServed + ", took effect in a new zone first "
            + inNewZones + ", took effect in two zones " + twice);
    if (!proxy.isAlive() || served.get() < 200 || inNewZones < 50) {
      return Rig.COULD_NOT_RUN;
    }
    return twice > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private void sendUntil(long end, int port) {
    try (Client client = new Client(port)) {
      while (System.nanoTime() < end) {
        String id = "q" + ids.incrementAndGet();
        String headers =
            "Request-Id: " + id + "\r\nRequest-Class: place-order\r\nRequest-Timeout: 1.2\r\n"
                + "Work-Hint: 10000\r\n";
        try {
          Client.Answer answer = client.exchange(Client.post("/place-order", headers, "soup"));
          rig.record("answer " + answer.status + " to " + id);
          (answer.status == 200 ? served : notServed).incrementAndGet();
        } catch (IOException e) {
          rig.record("no answer to " + id + ": " + e);
          notServed.incrementAndGet();
        }
        Thread.sleep(60);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
