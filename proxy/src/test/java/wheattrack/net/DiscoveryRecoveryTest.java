package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/**
 * Discovery fails in each way, then in each other, and returns at many points of the pauses between
 * calls: what it has then is acted on within the 6 s after which it counts as told, however long
 * askEvery is.
 */
class DiscoveryRecoveryTest extends ProxyTestHarness {
  /** Refuses to connect, answers 503, or 200 with nothing; says nothing; ends amid a line. */
  enum Fails {
    REFUSED,
    TURNED_AWAY,
    EMPTY,
    SILENT,
    CUT
  }

  private static final long TOLD = 6000, SECOND_WAY = 3000, RETURN = 6000, SPREAD = 2200;

  private final long from = System.nanoTime();
  private final List<String> late = Collections.synchronizedList(new ArrayList<>());
  private final List<Throwable> faults = Collections.synchronizedList(new ArrayList<>());

  private long passed() {
    return (System.nanoTime() - from) / 1_000_000;
  }

  private void sleepUntil(long time) throws InterruptedException {
    Thread.sleep(Math.max(0, time - passed()));
  }

  /**
   * One discovery at a host of its own, as a port that is let go may be somebody else's meanwhile.
   */
  private final class Discovery {
    private final Fails first, second;
    private final InetSocketAddress at;
    private ServerSocket door;
    private volatile Fails ways;

    Discovery(int number, Fails first, Fails second) throws IOException {
      this.first = first;
      this.second = second;
      InetAddress host = InetAddress.getByName("127.0.43." + (1 + number));
      try (ServerSocket free = new ServerSocket(0, BACKLOG, host)) {
        at = (InetSocketAddress) free.getLocalSocketAddress();
      }
    }

    void run(long returns) throws Exception {
      during(first);
      sleepUntil(SECOND_WAY);
      during(second);
      sleepUntil(returns);
      during(null);
    }

    /** Who connects now meets this; null: it is back. Who is connected goes on hearing nothing. */
    private void during(Fails how) throws IOException {
      if (how == Fails.REFUSED) {
        if (door != null) {
          door.close();
        }
        return;
      }
      ServerSocket mine = door == null || door.isClosed() ? new ServerSocket() : door;
      ways = how;
      if (mine != door) {
        mine.setReuseAddress(true);
        mine.bind(at, BACKLOG);
        doors.add(mine);
        door = mine;
        start(
            () -> {
              while (true) {
                Socket one = mine.accept();
                start(() -> meet(one, ways));
              }
            });
      }
    }

    private void meet(Socket one, Fails how) throws IOException {
      head(one.getInputStream());
      if (how == Fails.SILENT) {
        return;
      }
      send(
          one,
          how == Fails.TURNED_AWAY
              ? "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
              : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      if (how == Fails.CUT) {
        send(one, "9\r\n{\"rev\":1,\r\n");
      } else if (how == Fails.EMPTY) {
        send(one, "0\r\n\r\n");
      } else if (how == null) {
        String line = told(2, true, entry("s0", "SERVING", 1)) + "\n";
        send(one, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        return;
      }
      one.close();
    }
  }

  /** From its start on; how long after the return its one backend is known. */
  private void meets(int number, Fails first, Fails second, long askEvery, long returns)
      throws Exception {
    Discovery discovery = new Discovery(number, first, second);
    Thread there =
        new Thread(
            () -> {
              try {
                discovery.run(returns);
              } catch (Exception e) {
                faults.add(e);
              }
            });
    there.start();
    Thread.sleep(20);
    ProxyServer proxy =
        new ProxyServer(
            new ProxyConfig(
                Json.object(
                    config(0, 256, "{}")
                        .replace(
                            "127.0.0.1:0\",\"seed",
                            discovery.at.getHostString()
                                + ":"
                                + discovery.at.getPort()
                                + "\",\"seed")
                        .replace("\"askEvery\":1000000", "\"askEvery\":" + askEvery * 1000)
                        .replace(
                            "\"drain_ms\":1000", "\"drain_ms\":10,\"admin\":\"127.0.0.1:0\""))),
            "");
    Thread loop = start(proxy::run);
    sleepUntil(returns);
    while (passed() < returns + TOLD && !isKnown(proxy.adminPort())) {
      Thread.sleep(20);
    }
    if (passed() >= returns + TOLD) {
      late.add(
          first + ", " + second + ", every " + askEvery + " ms, back after " + returns + " ms");
    }
    proxy.end();
    loop.join();
    there.join();
  }

  private static boolean isKnown(int admin) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", admin)) {
      return call(socket, "GET /status/metrics HTTP/1.1\r\n\r\n").contains("backends_known:1");
    }
  }

  @Test
  void actedOnWithinSixSeconds() throws Exception {
    List<Thread> all = new ArrayList<>();
    for (Fails first : Fails.values()) {
      for (Fails second : Fails.values()) {
        for (long askEvery : new long[] {10_000, 60_000}) {
          int number = all.size();
          long returns = RETURN + SPREAD * (number * 7 % 50) / 50;
          Thread one =
              new Thread(
                  () -> {
                    try {
                      meets(number, first, second, askEvery, returns);
                    } catch (Exception e) {
                      faults.add(e);
                    }
                  });
          one.start();
          all.add(one);
        }
      }
    }
    for (Thread one : all) {
      one.join();
    }
    assertEquals(List.of(), faults);
    assertEquals(50, all.size());
    assertTrue(late.isEmpty(), late.size() + " of 50: " + late);
  }
}
