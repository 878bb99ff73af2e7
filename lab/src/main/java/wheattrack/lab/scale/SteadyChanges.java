package wheattrack.lab.scale;

import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures changes of a source at an even rate: what each costs beyond the idle state, when it
 * takes effect, and how much longer requests take meanwhile.
 */
final class SteadyChanges {
  /** How many changes are made, and at what rate. */
  record ChangeSchedule(int count, int perSecond) {
    /** For a few watchers. */
    static final ChangeSchedule FAST = new ChangeSchedule(200, 100);

    /** For thousands of watchers. */
    static final ChangeSchedule GENTLE = new ChangeSchedule(20, 5);
  }

  /** Changes before the measurement, so that code is compiled as in a proxy that has run on. */
  private static final int MAX_WARM_UP_CHANGES = 200;

  /** Bounds the notifications that a fleet gets in the second of warm-up. */
  private static final int MAX_WARM_UP_NOTIFICATIONS = 30_000;

  private static final long WARM_UP_PAUSE_MILLIS = 500;

  /** How long rest is measured; briefly without references, as times say little then. */
  private static final long REST_MILLIS = 2000;

  private static final long SHORT_REST_MILLIS = 100;

  /** Time for the last change to take effect everywhere. */
  private static final long SETTLE_MILLIS = 800;

  private static final long PROBE_WARM_UP_MILLIS = 1000;
  private static final long PROBE_MILLIS = 2000;

  private final ScaleEnvironment environment;
  private final SourceServer source;
  private final int entries;

  /** entries: how many the source has, which the changes go through in turn. */
  SteadyChanges(ScaleEnvironment environment, SourceServer source, int entries) {
    this.environment = environment;
    this.source = source;
    this.entries = entries;
  }

  /**
   * Makes changes by this schedule while a fleet and, unless it is null, a reference proxy watch
   * the source, and puts the metrics.
   */
  void measure(
      ControlOnlyFleet fleet,
      ReferenceProxy reference,
      ChangeSchedule schedule,
      Map<String, Double> metrics)
      throws InterruptedException {
    if (environment.hasReferences()) {
      int notifications = MAX_WARM_UP_NOTIFICATIONS / fleet.size();
      int warmUp = Math.min(MAX_WARM_UP_CHANGES, Math.max(schedule.perSecond, notifications));
      change(warmUp, warmUp);
      Thread.sleep(WARM_UP_PAUSE_MILLIS);
    }
    long fleetBefore = fleet.cpuNanos();
    long referenceBefore = cpuNanos(reference);
    long restStart = System.nanoTime();
    Thread.sleep(environment.hasReferences() ? REST_MILLIS : SHORT_REST_MILLIS);
    double fleetRest = (fleet.cpuNanos() - fleetBefore) / (double) (System.nanoTime() - restStart);
    double referenceRest =
        (cpuNanos(reference) - referenceBefore) / (double) (System.nanoTime() - restStart);

    fleet.forgetRevisions();
    fleetBefore = fleet.cpuNanos();
    referenceBefore = cpuNanos(reference);
    long bytesBefore = source.bytesSent();
    long start = System.nanoTime();
    long[] changedAt = change(schedule.count, schedule.perSecond);
    Thread.sleep(SETTLE_MILLIS);
    environment.checkLimit();
    double elapsed = System.nanoTime() - start;
    double watchers = fleet.size() + (reference == null ? 0 : 1);
    double fleetSpent = fleet.cpuNanos() - fleetBefore - fleetRest * elapsed;
    metrics.put("change_bytes", (source.bytesSent() - bytesBefore) / watchers / schedule.count);
    metrics.put("idle_us_s", fleetRest * 1e6 / fleet.size());
    metrics.put("change_us", fleetSpent / 1e3 / fleet.size() / schedule.count);
    fleet.putActivationLatencies(changedAt, source, metrics);
    if (reference != null && reference.wasReady()) {
      double spent = cpuNanos(reference) - referenceBefore - referenceRest * elapsed;
      metrics.put("w_idle_us_s", referenceRest * 1e6);
      metrics.put("w_change_us", spent / 1e3 / schedule.count);
      measureLatency(reference, schedule.perSecond, metrics);
    }
  }

  private static long cpuNanos(ReferenceProxy reference) {
    return reference == null ? 0 : reference.cpuNanos();
  }

  /** Puts the latency of requests at rest and while there are changes. */
  private void measureLatency(ReferenceProxy reference, int perSecond, Map<String, Double> metrics)
      throws InterruptedException {
    new LatencyProbe(reference.address()).endAfter(PROBE_WARM_UP_MILLIS);
    metrics.put("w_p99_ms", new LatencyProbe(reference.address()).endAfter(PROBE_MILLIS));
    LatencyProbe probe = new LatencyProbe(reference.address());
    change(2 * perSecond, perSecond);
    metrics.put("w_p99_beside_ms", probe.endAfter(0));
  }

  /** Makes so many changes of one entry each, evenly; returns when each was made. */
  private long[] change(int count, int perSecond) throws InterruptedException {
    long start = System.nanoTime();
    long[] changedAt = new long[count];
    for (int i = 0; i < count; i++) {
      long changeAt = start + i * 1_000_000_000L / perSecond;
      TimeUnit.NANOSECONDS.sleep(Math.max(0, changeAt - System.nanoTime()));
      changedAt[i] = System.nanoTime();
      source.change((int) ((environment.seed() * 31 + i * 7L) % entries), 1);
    }
    return changedAt;
  }
}
