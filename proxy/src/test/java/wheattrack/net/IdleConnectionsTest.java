package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/**
 * Idle clients fill all places while discovery is down, before the first list and after one: at its
 * return the list is read in time, and requests are served within theirs.
 */
class IdleConnectionsTest extends ProxyTestHarness {
  /** All at once, one after the other, again as soon as they are closed; with half a head each. */
  enum Comes {
    AT_ONCE,
    DRIPPING,
    AGAIN,
    WITH_HALF_A_HEAD
  }

  private static final long TOLD = 6000, TIME = 1500, DOWN = 4000;
  private static final int ASKED = 10, SERVED = 9;

  private final List<String> faults = Collections.synchronizedList(new ArrayList<>());
  private final List<Socket> crowd = Collections.synchronizedList(new ArrayList<>());

  /** One proxy before one backend, with its discovery and its crowd. */
  private final class Case {
    private final Comes how;
    private final boolean served;
    private final int sockets;
    private final List<Socket> watching = Collections.synchronizedList(new ArrayList<>());
    private volatile boolean down, over;
    private volatile String news;
    private int port;

    Case(Comes how, boolean served, int sockets) {
      this.how = how;
      this.served = served;
      this.sockets = sockets;
    }

    @Override
    public String toString() {
      return how + " of " + sockets + (served ? ", after a list" : ", before a list");
    }

    private void list(Socket one) throws IOException {
      head(one.getInputStream());
      if (!down) {
        tell(one);
      }
      watching.add(one); // else silent, as an agent is that learns nothing
    }

    private void tell(Socket one) throws IOException {
      send(one, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      String line = news + "\n";
      send(one, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }

    void play() throws Exception {
      String entry = ready("s" + sockets);
      news = told(1, true, entry);
      down = !served;
      ProxyServer proxy =
          new ProxyServer(
              new ProxyConfig(
                  Json.object(
                      config(open(this::list).getLocalPort(), sockets, "{}")
                          .replace(
                              "\"drain_ms\":1000", "\"drain_ms\":10,\"admin\":\"127.0.0.1:0\""))),
              "");
      Thread loop = start(proxy::run);
      port = proxy.port();
      if (served) {
        awaitKnown(proxy, 1, TOLD, "never served");
        down = true;
      }
      Thread comers = start(this::come);
      Thread.sleep(DOWN);
      news = told(2, true, entry, entry("other", "DRAINING", 1));
      down = false;
      awaitKnown(proxy, 2, TOLD, "not told within " + TOLD + " ms");
      int good = 0;
      for (int i = 0; i < ASKED; i++) {
        String answer = ask();
        good += answer.startsWith("200") ? 1 : 0;
        if (i == 0 && !answer.startsWith("200")) {
          faults.add(this + ": the first request got " + answer);
        }
      }
      if (good < SERVED) {
        faults.add(this + ": " + good + " of " + ASKED + " served");
      }
      over = true;
      comers.interrupt();
      proxy.shutdown();
      loop.join();
    }

    private String ask() {
      try (Socket socket = new Socket()) {
        long from = System.nanoTime();
        socket.connect(new InetSocketAddress("127.0.0.1", port), (int) TIME);
        socket.setSoTimeout((int) TIME);
        String answer = call(socket, request("buy"));
        long took = (System.nanoTime() - from) / 1_000_000;
        return took <= TIME ? answer : "its answer after " + took + " ms";
      } catch (IOException e) {
        return e.toString();
      }
    }

    private void awaitKnown(ProxyServer proxy, int known, long time, String fault)
        throws Exception {
      long until = System.nanoTime() + time * 1_000_000;
      while (!figures(proxy.adminPort()).contains("backends_known:" + known)) {
        if (System.nanoTime() > until) {
          faults.add(this + ": " + fault);
          return;
        }
        Thread.sleep(20);
      }
    }

    private void come() throws Exception {
      int most = how == Comes.WITH_HALF_A_HEAD ? places() * 3 / 2 : sockets * 3 / 2;
      List<Socket> mine = new ArrayList<>();
      for (int i = 0; !over && i < most; i++) {
        mine.add(comer());
        if (how == Comes.DRIPPING) {
          Thread.sleep(DOWN / most);
        }
      }
      while (!over && how != Comes.DRIPPING && how != Comes.AT_ONCE) {
        for (int i = 0; i < most; i++) {
          if (isClosed(mine.get(i))) {
            mine.get(i).close();
            mine.set(i, comer());
          }
        }
        Thread.sleep(5);
      }
    }

    /**
     * Of clients, as docs/design.md has them; half a head holds one for 0.8 s where others wait.
     */
    private int places() {
      return (int) (0.58 * (sockets - Math.max(32, sockets / 16) - 9));
    }

    private Socket comer() throws IOException {
      Socket one = new Socket();
      crowd.add(one);
      try {
        one.connect(new InetSocketAddress("127.0.0.1", port), 200);
        one.setSoTimeout(1);
        if (how == Comes.WITH_HALF_A_HEAD) {
          send(one, "GET /");
        }
      } catch (IOException e) {
        one.close(); // its queue is full, too: it comes again
      }
      return one;
    }

    private boolean isClosed(Socket one) {
      try {
        return one.isClosed()
            || one.getInputStream().available() > 0
            || one.getInputStream().read() < 0;
      } catch (java.net.SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true;
      }
    }
  }

  private static String figures(int admin) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", admin)) {
      return call(socket, "GET /status/metrics HTTP/1.1\r\n\r\n");
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {64, 256, 1024})
  void listIsReadAndRequestsAreServed(int sockets) throws Exception {
    List<Thread> all = new ArrayList<>();
    for (Comes how : sockets < 1024 ? Comes.values() : new Comes[] {Comes.AT_ONCE, Comes.AGAIN}) {
      for (boolean served : new boolean[] {false, true}) {
        Thread one =
            new Thread(
                () -> {
                  try {
                    new Case(how, served, sockets).play();
                  } catch (Exception e) {
                    faults.add(how + ": " + e);
                  }
                });
        one.start();
        all.add(one);
      }
    }
    for (Thread one : all) {
      one.join();
    }
    for (Socket one : List.copyOf(crowd)) {
      one.close();
    }
    assertEquals(List.of(), faults);
  }
}
