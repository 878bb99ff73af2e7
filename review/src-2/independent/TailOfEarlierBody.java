package independent;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send long bodies in chunks, one request after the other on a kept connection. Some
 * connections to backends are reset while a body comes. Each request that a backend runs must have
 * the body that its client has sent.
 */
final class TailOfEarlierBody {
  private static final int CLIENTS = 12;
  private static final int MIN_BODY = 66_000;
  private static final int MAX_BODY = 130_000;
  private static final int CHUNK = 8_000;
  private static final int SOME_BYTES = 65_536;
  private static final double RESET_SHARE = 0.1;
  private static final long LENGTH_MILLIS = 60_000;

  private final Rig rig;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger notServed = new AtomicInteger();
  private final AtomicInteger resets = new AtomicInteger();
  private final AtomicInteger wrong = new AtomicInteger();
  private final AtomicInteger wrongServed = new AtomicInteger();

  /** By request id: the length of the body that its client sends; each id has a body of its own. */
  private final Map<String, Integer> lengths = new ConcurrentHashMap<>();

  /** The ids that a backend has run with a wrong body. */
  private final Map<String, Boolean> wrongIds = new ConcurrentHashMap<>();

  private TailOfEarlierBody(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) {
    Rig.play(args, rig -> new TailOfEarlierBody(rig).run());
  }

  /** The body of a request: its id, again and again, so that each part shows whose it is. */
  private static String body(String id, int length) {
    return ("<" + id + ">").repeat(length / (id.length() + 2) + 1).substring(0, length);
  }

  /** Serves one connection; resets it at some point of some of the bodies. */
  private void serve(Backend.Connection connection) throws Exception {
    Random random = new Random();
    InputStream input = connection.input;
    for (String head = Wire.readHead(input); head != null; head = Wire.readHead(input)) {
      String id = Wire.header(head, "Request-Id", "");
      if (Rig.TROUBLE && random.nextDouble() < RESET_SHARE) {
        int after = SOME_BYTES + random.nextInt(MAX_BODY - SOME_BYTES);
        int read = 0;
        for (int n = 0; n >= 0 && read < after; read += Math.max(0, n)) {
          n = input.read(new byte[CHUNK], 0, Math.min(CHUNK, after - read));
        }
        resets.incrementAndGet();
        rig.record("reset under " + id + " after " + read + " bytes of its body");
        connection.reset();
        return;
      }
      check(id, Wire.readBody(input, head));
      connection.send(Backend.ok("saved " + id));
    }
  }

  private void check(String id, String body) {
    String sent = body(id, lengths.get(id));
    if (body.equals(sent)) {
      rig.record("run " + id + " with its body of " + body.length() + " bytes");
      return;
    }
    wrongIds.put(id, true);
    int same = 0;
    while (same < Math.min(body.length(), sent.length()) && body.charAt(same) == sent.charAt(same)) {
      same++;
    }
    String text =
        "WRONG BODY: " + id + " runs with " + body.length() + " bytes, its client sends "
            + sent.length() + "; from byte " + same + " on it has: "
            + body.substring(same, Math.min(body.length(), same + 24));
    if (wrong.incrementAndGet() <= 5) {
      rig.say(text);
    } else {
      rig.record(text);
    }
  }

  private int run() throws Exception {
    Discovery discovery = new Discovery(rig);
    for (int i = 0; i < 4; i++) {
      String uid = "s-000" + i;
      Backend backend = Backend.ofConnections(uid, this::serve);
      discovery.set(uid, Discovery.entry(uid, backend.port(), "sherbrooke", 0, "SERVING", 0));
    }
    Rig.ProxyProcess proxy = rig.newProxy("n1");
    proxy.configure(
        discovery.port(),
        Sites.settings(
            "[\"sherbrooke\"]", 1, 0,
            Sites.ruleSet("place-order", "idempotency_key", "all", 600, 1200, 5000)));
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
        "served " + served + ", not served " + notServed + ", resets " + resets
            + ", runs with a wrong body " + wrong + ", answered 200 after such a run "
            + wrongServed);
    if (!proxy.isAlive() || served.get() < 500) {
      return Rig.COULD_NOT_RUN;
    }
    return wrong.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private void sendUntil(long end, int port, int number) {
    Random random = new Random(number);
    try (Client client = new Client(port)) {
      while (System.nanoTime() < end) {
        String id = "q" + ids.incrementAndGet();
        lengths.put(id, MIN_BODY + random.nextInt(MAX_BODY - MIN_BODY));
        send(client, id);
        Thread.sleep(random.nextInt(30));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void send(Client client, String id) {
    StringBuilder request =
        new StringBuilder("POST /place-order HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: ")
            .append(id)
            .append("\r\nRequest-Class: place-order\r\nRequest-Timeout: 1.2\r\n")
            .append("Transfer-Encoding: chunked\r\n\r\n");
    String body = body(id, lengths.get(id));
    for (int i = 0; i < body.length(); i += CHUNK) {
      int size = Math.min(CHUNK, body.length() - i);
      request.append(Integer.toHexString(size)).append("\r\n");
      request.append(body, i, i + size).append("\r\n");
    }
    request.append("0\r\n\r\n");
    try {
      Client.Answer answer = client.exchange(Rig.bytes(request.toString()));
      rig.record("answer " + answer.status + " to " + id);
      (answer.status == 200 ? served : notServed).incrementAndGet();
      wrongServed.addAndGet(answer.status == 200 && wrongIds.containsKey(id) ? 1 : 0);
    } catch (IOException e) {
      rig.record("no answer to " + id + ": " + e);
      notServed.incrementAndGet();
    }
  }
}
