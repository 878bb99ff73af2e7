package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.send;
import static wheattrack.net.RawHttp.sendChunk;

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
 * Discovery fails in one way, then in another, and recovers at various moments of the backoff
 * between requests: its endpoint list is known within 6 s, independently of askEvery.
 */
class DiscoveryRecoveryTest extends ProxyTestHarness {
  /**
   * How discovery fails: it refuses connections, answers 503, answers 200 with an empty body, does
   * not answer, or closes the watch within a line.
   */
  enum Failure {
    CONNECTION_REFUSED,
    STATUS_503,
    EMPTY_BODY,
    NO_ANSWER,
    TRUNCATED_LINE
  }

  /** Within this time after discovery's recovery its endpoint list is known. */
  private static final long LIST_TIMEOUT_MILLIS = 6000;

  /** When the second failure begins, after the start of the test. */
  private static final long SECOND_FAILURE_MILLIS = 3000;

  /** When discovery recovers at the earliest, after the start of the test. */
  private static final long FIRST_RECOVERY_MILLIS = 6000;

  /** The recoveries of the cases are spread over this time. */
  private static final long RECOVERY_SPREAD_MILLIS = 2200;

  /** The pairs of failures, each with both values of askEvery. */
  private static final int CASES = 50;

  /** Coprime to the number of cases, so that each case recovers at another time. */
  private static final int RECOVERY_ORDER_STEP = 7;

  private final long startedAt = System.nanoTime();
  private final List<String> lateCases = Collections.synchronizedList(new ArrayList<>());
  private final List<Throwable> errors = Collections.synchronizedList(new ArrayList<>());

  private long elapsedMillis() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  private void sleepUntil(long time) throws InterruptedException {
    Thread.sleep(Math.max(0, time - elapsedMillis()));
  }

  /**
   * One discovery service at a loopback address of its own: at a shared address another process may
   * take its port while the port is closed.
   */
  private final class Discovery {
    private final Failure firstFailure;
    private final Failure secondFailure;
    private final InetSocketAddress address;
    private ServerSocket listener;
    private volatile Failure currentFailure;

    Discovery(int number, Failure firstFailure, Failure secondFailure) throws IOException {
      this.firstFailure = firstFailure;
      this.secondFailure = secondFailure;
      InetAddress host = InetAddress.getByName("127.0.43." + (1 + number));
      try (ServerSocket free = new ServerSocket(0, BACKLOG, host)) {
        address = (InetSocketAddress) free.getLocalSocketAddress();
      }
    }

    void run(long recoveryTime) throws Exception {
      switchTo(firstFailure);
      sleepUntil(SECOND_FAILURE_MILLIS);
      switchTo(secondFailure);
      sleepUntil(recoveryTime);
      switchTo(null);
    }

    /**
     * Serves new connections with this failure from now on; null means that discovery has
     * recovered. Open connections receive nothing more.
     */
    private void switchTo(Failure failure) throws IOException {
      if (failure == Failure.CONNECTION_REFUSED) {
        if (listener != null) {
          listener.close();
        }
        return;
      }
      ServerSocket openListener =
          listener == null || listener.isClosed() ? new ServerSocket() : listener;
      currentFailure = failure;
      if (openListener != listener) {
        openListener.setReuseAddress(true);
        openListener.bind(address, BACKLOG);
        listeners.add(openListener);
        listener = openListener;
        startThread(
            () -> {
              while (true) {
                Socket socket = openListener.accept();
                startThread(() -> serveWatch(socket, currentFailure));
              }
            });
      }
    }

    private void serveWatch(Socket socket, Failure failure) throws IOException {
      readHead(socket.getInputStream());
      if (failure == Failure.NO_ANSWER) {
        return;
      }
      send(
          socket,
          failure == Failure.STATUS_503
              ? "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
              : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      if (failure == Failure.TRUNCATED_LINE) {
        send(socket, "9\r\n{\"rev\":1,\r\n");
      } else if (failure == Failure.EMPTY_BODY) {
        send(socket, "0\r\n\r\n");
      } else if (failure == null) {
        sendChunk(socket, listLine(2, true, endpoint("s0", "SERVING", 1)) + "\n");
        return;
      }
      socket.close();
    }
  }

  /** Runs one proxy, and records a late case if its backend is not known in time. */
  private void runCase(
      int number, Failure firstFailure, Failure secondFailure, long askEvery, long recoveryTime)
      throws Exception {
    Discovery discovery = new Discovery(number, firstFailure, secondFailure);
    Thread discoveryThread =
        new Thread(
            () -> {
              try {
                discovery.run(recoveryTime);
              } catch (Exception e) {
                errors.add(e);
              }
            });
    discoveryThread.start();
    Thread.sleep(20);
    ProxyServer proxy =
        new ProxyServer(
            new ProxyConfig(
                Json.object(
                    config(0, 256, "{}")
                        .replace(
                            "127.0.0.1:0\",\"seed",
                            discovery.address.getHostString()
                                + ":"
                                + discovery.address.getPort()
                                + "\",\"seed")
                        .replace("\"askEvery\":1000000", "\"askEvery\":" + askEvery * 1000)
                        .replace(
                            "\"drain_ms\":1000", "\"drain_ms\":10,\"admin\":\"127.0.0.1:0\""))),
            "");
    Thread loop = startThread(proxy::run);
    sleepUntil(recoveryTime);
    while (elapsedMillis() < recoveryTime + LIST_TIMEOUT_MILLIS && !isKnown(proxy.adminPort())) {
      Thread.sleep(20);
    }
    if (elapsedMillis() >= recoveryTime + LIST_TIMEOUT_MILLIS) {
      lateCases.add(
          firstFailure
              + ", "
              + secondFailure
              + ", askEvery "
              + askEvery
              + " ms, recovered after "
              + recoveryTime
              + " ms");
    }
    proxy.shutdown();
    loop.join();
    discoveryThread.join();
  }

  private static boolean isKnown(int adminPort) throws IOException {
    return readMetrics(adminPort).contains("backends_known:1");
  }

  @Test
  void listIsKnownWithinSixSecondsOfTheRecovery() throws Exception {
    List<Thread> cases = new ArrayList<>();
    for (Failure firstFailure : Failure.values()) {
      for (Failure secondFailure : Failure.values()) {
        for (long askEvery : new long[] {10_000, 60_000}) {
          int number = cases.size();
          long recoveryTime =
              FIRST_RECOVERY_MILLIS
                  + RECOVERY_SPREAD_MILLIS * (number * RECOVERY_ORDER_STEP % CASES) / CASES;
          Thread thread =
              new Thread(
                  () -> {
                    try {
                      runCase(number, firstFailure, secondFailure, askEvery, recoveryTime);
                    } catch (Exception e) {
                      errors.add(e);
                    }
                  });
          thread.start();
          cases.add(thread);
        }
      }
    }
    for (Thread thread : cases) {
      thread.join();
    }
    assertEquals(List.of(), errors);
    assertEquals(CASES, cases.size());
    assertTrue(
        lateCases.isEmpty(),
        "list late in " + lateCases.size() + " of " + CASES + " cases: " + lateCases);
  }
}
