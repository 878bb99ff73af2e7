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
 * Discovery fails in each way, then in each other way, and recovers at many points of the pauses
 * between calls. The list that it has then is applied within the 6 s after which it counts as
 * notified, however long askEvery is.
 */
class DiscoveryRecoveryTest extends ProxyTestHarness {
  /** Refuses connections; answers 503; 200 without a line; nothing; or ends within a line. */
  enum FailureMode {
    REFUSED,
    REJECTED,
    EMPTY,
    SILENT,
    TRUNCATED
  }

  private static final long NOTIFICATION_LIMIT_MS = 6000;
  private static final long SECOND_FAILURE_MS = 3000;
  private static final long FIRST_RECOVERY_MS = 6000;
  private static final long RECOVERY_SPREAD_MS = 2200;

  private final long startNanos = System.nanoTime();
  private final List<String> lateCases = Collections.synchronizedList(new ArrayList<>());
  private final List<Throwable> faults = Collections.synchronizedList(new ArrayList<>());

  private long elapsedMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void sleepUntil(long millis) throws InterruptedException {
    Thread.sleep(Math.max(0, millis - elapsedMillis()));
  }

  /**
   * One discovery service at a host of its own: another process may take a port that was released.
   */
  private final class Discovery {
    private final FailureMode first;
    private final FailureMode second;
    private final InetSocketAddress address;
    private ServerSocket listener;
    private volatile FailureMode failureMode;

    Discovery(int number, FailureMode first, FailureMode second) throws IOException {
      this.first = first;
      this.second = second;
      InetAddress host = InetAddress.getByName("127.0.43." + (1 + number));
      try (ServerSocket free = new ServerSocket(0, BACKLOG, host)) {
        address = (InetSocketAddress) free.getLocalSocketAddress();
      }
    }

    void run(long recoveryMillis) throws Exception {
      switchTo(first);
      sleepUntil(SECOND_FAILURE_MS);
      switchTo(second);
      sleepUntil(recoveryMillis);
      switchTo(null);
    }

    /** Fails new connections in this way; null: it has recovered. Open ones stay silent. */
    private void switchTo(FailureMode mode) throws IOException {
      if (mode == FailureMode.REFUSED) {
        if (listener != null) {
          listener.close();
        }
        return;
      }
      ServerSocket openListener =
          listener == null || listener.isClosed() ? new ServerSocket() : listener;
      failureMode = mode;
      if (openListener != listener) {
        openListener.setReuseAddress(true);
        openListener.bind(address, BACKLOG);
        doors.add(openListener);
        listener = openListener;
        start(
            () -> {
              while (true) {
                Socket socket = openListener.accept();
                start(() -> answer(socket, failureMode));
              }
            });
      }
    }

    private void answer(Socket socket, FailureMode mode) throws IOException {
      head(socket.getInputStream());
      if (mode == FailureMode.SILENT) {
        return;
      }
      send(
          socket,
          mode == FailureMode.REJECTED
              ? "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
              : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      if (mode == FailureMode.TRUNCATED) {
        send(socket, "9\r\n{\"rev\":1,\r\n");
      } else if (mode == FailureMode.EMPTY) {
        send(socket, "0\r\n\r\n");
      } else if (mode == null) {
        String line = told(2, true, entry("s0", "SERVING", 1)) + "\n";
        send(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        return;
      }
      socket.close();
    }
  }

  /** Starts a proxy, and notes the case if its backend is not known in time after the recovery. */
  private void checkRecovery(
      int number, FailureMode first, FailureMode second, long askEvery, long recoveryMillis)
      throws Exception {
    Discovery discovery = new Discovery(number, first, second);
    Thread discoveryThread =
        new Thread(
            () -> {
              try {
                discovery.run(recoveryMillis);
              } catch (Exception e) {
                faults.add(e);
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
    Thread proxyThread = start(proxy::run);
    sleepUntil(recoveryMillis);
    while (elapsedMillis() < recoveryMillis + NOTIFICATION_LIMIT_MS
        && !isBackendKnown(proxy.adminPort())) {
      Thread.sleep(20);
    }
    if (elapsedMillis() >= recoveryMillis + NOTIFICATION_LIMIT_MS) {
      lateCases.add(
          first
              + ", "
              + second
              + ", every "
              + askEvery
              + " ms, back after "
              + recoveryMillis
              + " ms");
    }
    proxy.shutdown();
    proxyThread.join();
    discoveryThread.join();
  }

  private static boolean isBackendKnown(int adminPort) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", adminPort)) {
      return call(socket, "GET /status/metrics HTTP/1.1\r\n\r\n").contains("backends_known:1");
    }
  }

  @Test
  void listIsAppliedWithinSixSeconds() throws Exception {
    List<Thread> cases = new ArrayList<>();
    for (FailureMode first : FailureMode.values()) {
      for (FailureMode second : FailureMode.values()) {
        for (long askEvery : new long[] {10_000, 60_000}) {
          int number = cases.size();
          long recoveryMillis = FIRST_RECOVERY_MS + RECOVERY_SPREAD_MS * (number * 7 % 50) / 50;
          Thread thread =
              new Thread(
                  () -> {
                    try {
                      checkRecovery(number, first, second, askEvery, recoveryMillis);
                    } catch (Exception e) {
                      faults.add(e);
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
    assertEquals(List.of(), faults);
    assertEquals(50, cases.size());
    assertTrue(lateCases.isEmpty(), lateCases.size() + " of 50: " + lateCases);
  }
}
