package wheattrack.lab.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The axis of complete proxies that start together, in each mode of their endpoint source. */
final class RestartMeasurement {
  private static final long READY_TIMEOUT_NANOS = 45_000_000_000L;
  private static final long POLL_INTERVAL_MILLIS = 5;
  private static final double P90 = 0.9;

  private final ScaleEnvironment environment;

  RestartMeasurement(ScaleEnvironment environment) {
    this.environment = environment;
  }

  /** Measures that many proxies on half as many processors, or on all if there are fewer. */
  void measure(int count, Map<String, Double> metrics) throws IOException, InterruptedException {
    int processors = Runtime.getRuntime().availableProcessors();
    int cores = Math.max(1, Math.min(processors, (count + 1) / 2));
    // processors per proxy, 1 at most
    metrics.put("core_each", Math.min(1, cores / (double) count));
    for (SourceServer.Mode mode : SourceServer.Mode.values()) {
      try (SourceServer source = environment.startEndpointSource(ScaleEnvironment.SMALL_LIST)) {
        source.setMode(mode);
        List<ReferenceProxy> proxies = new ArrayList<>();
        try {
          start(count, source, "0-" + (cores - 1), proxies);
          double[] readyMillis = awaitReady(proxies);
          putMetrics(mode.name().toLowerCase(Locale.ROOT), proxies, readyMillis, metrics);
        } finally {
          proxies.forEach(ReferenceProxy::close);
        }
      }
    }
  }

  /**
   * Starts proxies; adds each to the list immediately, so that it is closed if a later one fails.
   */
  private void start(int count, SourceServer source, String cpus, List<ReferenceProxy> proxies)
      throws IOException {
    for (int i = 0; i < count; i++) {
      proxies.add(environment.startPinnedReference(i, source, cpus));
    }
  }

  /** Milliseconds until each was ready, in ascending order; NaN, last, for those that were not. */
  private double[] awaitReady(List<ReferenceProxy> proxies) throws InterruptedException {
    double[] readyMillis = new double[proxies.size()];
    Arrays.fill(readyMillis, Double.NaN);
    long deadline = System.nanoTime() + READY_TIMEOUT_NANOS;
    int notReady = proxies.size();
    while (notReady > 0 && System.nanoTime() < deadline) {
      for (int i = 0; i < readyMillis.length; i++) {
        if (!Double.isFinite(readyMillis[i]) && proxies.get(i).isReady()) {
          readyMillis[i] = proxies.get(i).millisSinceStart();
          notReady--;
        }
      }
      environment.checkLimit();
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    Arrays.sort(readyMillis);
    return readyMillis;
  }

  private static void putMetrics(
      String mode,
      List<ReferenceProxy> proxies,
      double[] readyMillis,
      Map<String, Double> metrics) {
    int count = readyMillis.length;
    int rank90 = Math.max(0, (int) Math.ceil(P90 * count) - 1);
    long residentKib = proxies.stream().mapToLong(ReferenceProxy::residentKib).sum();
    metrics.put(mode + "_p50_ms", readyMillis[count / 2]);
    metrics.put(mode + "_p90_ms", readyMillis[rank90]);
    metrics.put(mode + "_last_ms", readyMillis[count - 1]);
    metrics.put(mode + "_rss_mb", residentKib / (double) ByteUnits.KIB / count);
  }
}
