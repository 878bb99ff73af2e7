package wheattrack.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The control-only proxies of one point of an axis, which do the control work of a proxy and serve
 * no traffic. They are spread evenly over as few processes as they need. Not thread-safe.
 */
final class ControlOnlyFleet implements AutoCloseable {
  private static final int MAX_PROXIES_PER_PROCESS = 600;

  private final ProcessGroup group;
  private final int size;
  private final List<ControlOnlyProcess> processes = new ArrayList<>();

  /** Heap in use in all processes before the proxies started. */
  private final double initialHeapBytes;

  private final long startedAtNanos;

  /**
   * Starts the proxies and waits until they run.
   *
   * @param size how many proxies
   * @param config the configuration file of all of them
   * @param settingsSource the source of settings that they watch, or null
   */
  ControlOnlyFleet(ProcessGroup group, int size, Path config, InetSocketAddress settingsSource)
      throws IOException {
    this.group = group;
    this.size = size;
    try {
      startProcesses(config, settingsSource);
      double heapBytes = 0;
      long startedAt = Long.MAX_VALUE;
      for (ControlOnlyProcess process : processes) {
        ControlOnlyProcess.Start start = process.awaitStart();
        startedAt = Math.min(startedAt, start.startedAtNanos());
        heapBytes += start.heapBytes();
      }
      initialHeapBytes = heapBytes;
      startedAtNanos = startedAt;
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
  }

  private void startProcesses(Path config, InetSocketAddress settingsSource) {
    int count = (size + MAX_PROXIES_PER_PROCESS - 1) / MAX_PROXIES_PER_PROCESS;
    for (int i = 0; i < count; i++) {
      int first = size * i / count;
      int next = size * (i + 1) / count;
      processes.add(group.startControlOnly(next - first, first, config, settingsSource));
    }
  }

  int size() {
    return size;
  }

  int processCount() {
    return processes.size();
  }

  /**
   * Waits until all proxies have a snapshot of the source whose revisions are reported: the source
   * of settings if there is one, else the endpoint list. Returns the milliseconds until then from
   * the start of the first proxy, or NaN after the timeout.
   */
  double awaitSnapshots(long timeoutMillis) throws InterruptedException {
    boolean haveSnapshots = Polling.await(timeoutMillis, () -> proxiesWithSnapshot() >= size);
    return haveSnapshots
        ? (System.nanoTime() - startedAtNanos) / ScaleEnvironment.NANOS_PER_MILLI
        : Double.NaN;
  }

  private int proxiesWithSnapshot() {
    return processes.stream().mapToInt(process -> process.known().proxiesWithSnapshot()).sum();
  }

  /** The length of the longest endpoint list of any proxy. */
  double maxKnownBackends() {
    return processes.stream().mapToDouble(process -> process.known().maxBackends()).max().orElse(0);
  }

  /** KiB of heap per proxy that have been added since the proxies' start. */
  double heapKibEach() {
    double heapBytes = processes.stream().mapToDouble(ControlOnlyProcess::heapBytes).sum();
    return (heapBytes - initialHeapBytes) / ByteUnits.KIB / size;
  }

  /** Nanoseconds of processor time of all processes so far. */
  long cpuNanos() {
    return processes.stream()
        .mapToLong(process -> ProcessStatistics.cpuNanos(process.process()))
        .sum();
  }

  /** Makes all proxies reload their configuration from this file; returns once they have. */
  void reload(Path config) {
    processes.forEach(process -> process.reload(config));
  }

  /** Discards the recorded times at which revisions took effect. */
  void forgetRevisions() {
    processes.forEach(ControlOnlyProcess::forgetRevisions);
  }

  /**
   * Puts metrics of the time from when a change was made until it took effect, over all changes at
   * all proxies, and the number of those that did not take effect ({@code untold}).
   *
   * @param changedAtNanos when each change was made, by System.nanoTime; the last of them is the
   *     source's latest revision
   */
  void putActivationLatencies(
      long[] changedAtNanos, SourceServer source, Map<String, Double> metrics) {
    List<Double> latencies = new ArrayList<>();
    long latest = source.revision();
    for (ControlOnlyProcess process : processes) {
      process
          .revisionTimes()
          .forEach(
              (revision, times) -> {
                int change = (int) (changedAtNanos.length - 1 - (latest - revision));
                if (change >= 0) {
                  for (long time : times) {
                    latencies.add(
                        (time - changedAtNanos[change]) / ScaleEnvironment.NANOS_PER_MILLI);
                  }
                }
              });
    }
    latencies.sort(null);
    int count = latencies.size();
    metrics.put("untold", (double) changedAtNanos.length * size - count);
    metrics.put("force_p50_ms", count == 0 ? Double.NaN : latencies.get(count / 2));
    metrics.put("force_p99_ms", Percentiles.of(latencies, Percentiles.P99));
    metrics.put("force_last_ms", count == 0 ? Double.NaN : latencies.get(count - 1));
  }

  @Override
  public void close() {
    processes.forEach(process -> group.end(process.process()));
  }
}
