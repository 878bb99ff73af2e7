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
 * Discovery fails in one way, then in another, and returns at various moments of the backoff
 * between polls: its list is known within 6 s, whatever askEvery is.
 */
class DiscoveryRecoveryTest extends ProxyTestHarness {
  /**
   * How discovery fails: it refuses connections, answers 503, answers 200 with an empty body, does
   * not answer, or ends within a line.
   */
  enum Failure {
    REFUSED,
    REJECTED,
    EMPTY,
    SILENT,
    CUT
  }

  /** Within this time after discovery's return its list is known. */
  private static final long LIST_TIMEOUT_MILLIS = 6000;

  /** When the second way to fail begins. */
  private static final long SECOND_FAILURE_MILLIS = 3000;

  /** When discovery returns at the earliest, and over how long the cases' returns are spread. */
  private static final long FIRST_RETURN_MILLIS = 6000;

  private static final long RETURN_SPREAD_MILLIS = 2200;

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
   * take its port while it is closed.
   */
  private final class Discovery {
    private final Failure first;
    private final Failure second;
    private final InetSocketAddress address;
    private ServerSocket listener;
    private volatile Failure currentFailure;

    Discovery(int number, Failure first, Failure second) throws IOException {
      this.first = first;
      this.second = second;
      InetAddress host = InetAddress.getByName("127.0.43." + (1 + number));
      try (ServerSocket free = new ServerSocket(0, BACKLOG, host)) {
        address = (InetSocketAddress) free.getLocalSocketAddress();
      }
    }

    void run(long returnTime) throws Exception {
      switchTo(first);
      sleepUntil(SECOND_FAILURE_MILLIS);
      switchTo(second);
      sleepUntil(returnTime);
      switchTo(null);
    }

    /**
     * Serves new connections with this failure from now on; null: discovery has returned. Open
     * connections receive nothing more.
     */
    private void switchTo(Failure failure) throws IOException {
      if (failure == Failure.REFUSED) {
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
      if (failure == Failure.SILENT) {
        return;
      }
      send(
          socket,
          failure == Failure.REJECTED
              ? "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
              : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      if (failure == Failure.CUT) {
        send(socket, "9\r\n{\"rev\":1,\r\n");
      } else if (failure == Failure.EMPTY) {
        send(socket, "0\r\n\r\n");
      } else if (failure == null) {
        sendChunk(socket, listLine(2, true, endpoint("s0", "SERVING", 1)) + "\n");
        return;
      }
      socket.close();
    }
  }

  /** Runs one proxy, and records it if its one backend is not known in time after the return. */
  private void runCase(int number, Failure first, Failure second, long askEvery, long returnTime)
      throws Exception {
    Discovery discovery = new Discovery(number, first, second);
    Thread discoveryThread =
        new Thread(
            () -> {
              try {
                discovery.run(returnTime);
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
    sleepUntil(returnTime);
    while (elapsedMillis() < returnTime + LIST_TIMEOUT_MILLIS && !isKnown(proxy.adminPort())) {
      Thread.sleep(20);
    }
    if (elapsedMillis() >= returnTime + LIST_TIMEOUT_MILLIS) {
      lateCases.add(
          first + ", " + second + ", every " + askEvery + " ms, back after " + returnTime + " ms");
    }
    proxy.shutdown();
    loop.join();
    discoveryThread.join();
  }

  private static boolean isKnown(int adminPort) throws IOException {
    return readMetrics(adminPort).contains("backends_known:1");
  }

  @Test
  void listIsKnownWithinSixSecondsOfTheReturn() throws Exception {
    List<Thread> cases = new ArrayList<>();
    for (Failure first : Failure.values()) {
      for (Failure second : Failure.values()) {
        for (long askEvery : new long[] {10_000, 60_000}) {
          int number = cases.size();
          long returnTime = FIRST_RETURN_MILLIS + RETURN_SPREAD_MILLIS * (number * 7 % 50) / 50;
          Thread thread =
              new Thread(
                  () -> {
                    try {
                      runCase(number, first, second, askEvery, returnTime);
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
    assertEquals(50, cases.size());
    assertTrue(lateCases.isEmpty(), lateCases.size() + " of 50: " + lateCases);
  }
}
