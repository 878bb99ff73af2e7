package wheattrack.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A complete proxy, started as operators do, with which the control-only ones are compared. */
final class ReferenceProxy implements AutoCloseable {
  /** Timeout of connecting, and of each read, in one readiness request. */
  private static final int READY_REQUEST_TIMEOUT_MILLIS = 200;

  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final int READ_TIMEOUT_MILLIS = 2000;

  /** Length of a status line up to its status code, such as {@code HTTP/1.1 200}. */
  private static final int STATUS_CODE_END = 12;

  private final ProcessGroup group;
  private final InetSocketAddress address;
  private final Process process;
  private final long startedAtNanos;
  private double readyMillis = Double.NaN;

  /**
   * Wraps a process that has just been started.
   *
   * @param group the group of the process, by which it is ended
   * @param address where the proxy listens for clients; its admin port is the next one
   * @param startedAtNanos when the process was started, by System.nanoTime
   */
  ReferenceProxy(
      ProcessGroup group, InetSocketAddress address, Process process, long startedAtNanos) {
    this.group = group;
    this.address = address;
    this.process = process;
    this.startedAtNanos = startedAtNanos;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Waits until the proxy is ready, after which {@link #readyMillis} returns how long it took. */
  void awaitReady(long timeoutMillis) throws InterruptedException {
    boolean isReady = Polling.await(timeoutMillis, this::isReady);
    readyMillis = isReady ? millisSinceStart() : Double.NaN;
  }

  /** Milliseconds from the proxy's start until it was ready; NaN if it was not in time. */
  double readyMillis() {
    return readyMillis;
  }

  boolean wasReady() {
    return Double.isFinite(readyMillis);
  }

  double millisSinceStart() {
    return (System.nanoTime() - startedAtNanos) / ScaleEnvironment.NANOS_PER_MILLI;
  }

  /** Asks the proxy whether it is ready. */
  boolean isReady() {
    try (Socket connection = new Socket()) {
      connection.connect(address, READY_REQUEST_TIMEOUT_MILLIS);
      connection.setSoTimeout(READY_REQUEST_TIMEOUT_MILLIS);
      send(connection, "GET /ready HTTP/1.1\r\n\r\n");
      byte[] statusLine = connection.getInputStream().readNBytes(STATUS_CODE_END);
      return new String(statusLine, StandardCharsets.US_ASCII).endsWith("200");
    } catch (IOException e) {
      return false; // the proxy does not listen yet
    }
  }

  /** Reads a metric by name from the admin address; NaN if it is missing or nothing answers. */
  double metric(String name) {
    try (Socket connection = new Socket()) {
      connection.connect(
          new InetSocketAddress(address.getHostString(), address.getPort() + 1),
          CONNECT_TIMEOUT_MILLIS);
      connection.setSoTimeout(READ_TIMEOUT_MILLIS);
      send(connection, "GET /status/metrics HTTP/1.1\r\n\r\n");
      String text =
          new String(connection.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      int start = text.indexOf("proxy." + name + ":");
      if (start < 0) {
        return Double.NaN;
      }
      return Double.parseDouble(
          text.substring(text.indexOf(':', start) + 1, text.indexOf('|', start)));
    } catch (IOException e) {
      return Double.NaN; // the proxy does not listen yet, or no longer
    }
  }

  private static void send(Socket connection, String request) throws IOException {
    connection.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Makes the proxy reload its configuration by SIGHUP; returns the milliseconds of processor time
   * until it has, which include those that it takes when idle, or NaN after the timeout.
   */
  double reloadCpuMillis(long timeoutMillis) throws IOException, InterruptedException {
    double reloadsBefore = metric("reloads_ok");
    long cpuBefore = cpuNanos();
    new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    boolean isReloaded = Polling.await(timeoutMillis, () -> metric("reloads_ok") > reloadsBefore);
    return isReloaded ? (cpuNanos() - cpuBefore) / ScaleEnvironment.NANOS_PER_MILLI : Double.NaN;
  }

  /** Nanoseconds of processor time of the process so far. */
  long cpuNanos() {
    return ProcessStatistics.cpuNanos(process);
  }

  double peakResidentMib() {
    return ProcessStatistics.peakResidentKib(process) / (double) ByteUnits.KIB;
  }

  long residentKib() {
    return ProcessStatistics.residentKib(process);
  }

  /** Puts the time until the proxy was ready, and its processor time and peak memory so far. */
  void putStart(Map<String, Double> metrics) {
    metrics.put("w_ready_ms", readyMillis);
    metrics.put("w_start_cpu_ms", cpuNanos() / ScaleEnvironment.NANOS_PER_MILLI);
    metrics.put("w_rss_mb", peakResidentMib());
  }

  @Override
  public void close() {
    group.end(process);
  }
}
