package wheattrack.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests to one proxy at an even rate on one connection, on a thread of its own, and
 * records how long each answer took.
 */
final class LatencyProbe {
  private static final int REQUESTS_PER_SECOND = 100;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final int READ_TIMEOUT_MILLIS = 2000;
  private static final long END_TIMEOUT_MILLIS = 3000;

  private final InetSocketAddress proxy;
  private final List<Double> latencies = new ArrayList<>();
  private volatile boolean isEnded;
  private final Thread thread;

  /** Starts the probe immediately. */
  LatencyProbe(InetSocketAddress proxy) {
    this.proxy = proxy;
    thread = DaemonThreads.start(this::run);
  }

  private void run() throws IOException, InterruptedException {
    try (Socket connection = new Socket()) {
      connection.setTcpNoDelay(true);
      connection.connect(proxy, CONNECT_TIMEOUT_MILLIS);
      connection.setSoTimeout(READ_TIMEOUT_MILLIS);
      long start = System.nanoTime();
      for (long i = 0; !isEnded; i++) {
        long sendAt = start + i * ScaleEnvironment.NANOS_PER_SECOND / REQUESTS_PER_SECOND;
        TimeUnit.NANOSECONDS.sleep(sendAt - System.nanoTime());
        if (!exchange(connection)) {
          return;
        }
      }
    }
  }

  /** Sends a request and reads its answer; returns false if the proxy closed the connection. */
  private boolean exchange(Socket connection) throws IOException {
    long sentAt = System.nanoTime();
    String request =
        "GET /route-0 HTTP/1.1\r\nRequest-Id: "
            + Long.toHexString(sentAt)
            + "\r\nRequest-Class: route-0\r\n\r\n";
    connection.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    String head = HttpMessages.readHead(connection.getInputStream());
    if (head == null) {
      return false;
    }
    connection.getInputStream().readNBytes(HttpMessages.contentLength(head));
    synchronized (latencies) {
      latencies.add((System.nanoTime() - sentAt) / ScaleEnvironment.NANOS_PER_MILLI);
    }
    return true;
  }

  /**
   * Waits for this time and ends the probe; returns the 99th percentile of the latencies in
   * milliseconds, or NaN if there was no answer.
   */
  double endAfter(long millis) throws InterruptedException {
    Thread.sleep(millis);
    isEnded = true;
    thread.join(END_TIMEOUT_MILLIS);
    synchronized (latencies) {
      latencies.sort(null);
      return Percentiles.of(latencies, Percentiles.P99);
    }
  }
}
