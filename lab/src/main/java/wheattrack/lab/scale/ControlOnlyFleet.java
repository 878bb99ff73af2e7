package wheattrack.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The control-only proxies of a point, in as many processes as they need. Not thread-safe. */
final class ControlOnlyFleet implements AutoCloseable {
  private static final int MAX_PROXIES_PER_PROCESS = 600;

  private final ProcessGroup group;
  private final int size;
  private final List<ControlOnlyProcess> processes = new ArrayList<>();
  private final double emptyHeapBytes;
  private final long startedAtNanos;

  /**
   * Starts the proxies and waits until they run.
   *
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
      emptyHeapBytes = heapBytes;
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

  /** Milliseconds from their start until all have an endpoint list, or NaN after the timeout. */
  double awaitLists(long timeoutMillis) throws InterruptedException {
    boolean haveLists = Polling.await(timeoutMillis, () -> proxiesWithList() >= size);
    return haveLists
        ? (System.nanoTime() - startedAtNanos) / ScaleEnvironment.NANOS_PER_MILLI
        : Double.NaN;
  }

  private int proxiesWithList() {
    return processes.stream().mapToInt(process -> process.known().proxiesWithList()).sum();
  }

  /** The most backends that one of them knows. */
  double maxKnownBackends() {
    return processes.stream().mapToDouble(process -> process.known().maxBackends()).max().orElse(0);
  }

  /** KiB of heap that each has taken since its start. */
  double heapKibEach() {
    double heapBytes = processes.stream().mapToDouble(ControlOnlyProcess::heapBytes).sum();
    return (heapBytes - emptyHeapBytes) / ByteUnits.KIB / size;
  }

  /** Nanoseconds of processor time of all. */
  long cpuNanos() {
    return processes.stream()
        .mapToLong(process -> ProcessStatistics.cpuNanos(process.process()))
        .sum();
  }

  /** Makes all of them reload their configuration; returns once they have. */
  void reload(Path config) {
    processes.forEach(process -> process.reload(config));
  }

  /** Forgets when revisions took effect so far. */
  void forgetRevisions() {
    processes.forEach(ControlOnlyProcess::forgetRevisions);
  }

  /**
   * Adds how long changes took from when they were made until they took effect, of all changes at
   * all proxies.
   *
   * @param changedAtNanos when each was made; the last of them is the source's latest revision
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
    metrics.put("force_p99_ms", Percentiles.of(latencies, 0.99));
    metrics.put("force_last_ms", count == 0 ? Double.NaN : latencies.get(count - 1));
  }

  @Override
  public void close() {
    processes.forEach(process -> group.end(process.process()));
  }
}
