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

  /** How long the idle state is measured; briefly without references: times say little then. */
  private static final long IDLE_MILLIS = 2000;

  private static final long SHORT_IDLE_MILLIS = 100;

  /** Time for the last change to take effect everywhere. */
  private static final long SETTLE_MILLIS = 800;

  private static final long PROBE_WARM_UP_MILLIS = 1000;
  private static final long PROBE_MILLIS = 2000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double NANOS_PER_MICRO = 1e3;

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
    warmUp(fleet, schedule);
    CpuMeter fleetCpu = new CpuMeter(fleet::cpuNanos);
    CpuMeter referenceCpu = new CpuMeter(() -> reference == null ? 0 : reference.cpuNanos());
    Thread.sleep(environment.hasReferences() ? IDLE_MILLIS : SHORT_IDLE_MILLIS);
    double fleetIdle = fleetCpu.utilization();
    double referenceIdle = referenceCpu.utilization();

    fleet.forgetRevisions();
    fleetCpu.restart();
    referenceCpu.restart();
    long bytesBefore = source.bytesSent();
    long[] changedAt = change(schedule.count, schedule.perSecond);
    Thread.sleep(SETTLE_MILLIS);
    environment.checkLimit();
    double watchers = fleet.size() + (reference == null ? 0 : 1);
    double fleetNanos = fleetCpu.nanosBeyond(fleetIdle);
    double referenceNanos = referenceCpu.nanosBeyond(referenceIdle);
    metrics.put("change_bytes", (source.bytesSent() - bytesBefore) / watchers / schedule.count);
    metrics.put("idle_us_s", fleetIdle * MICROS_PER_SECOND / fleet.size());
    metrics.put("change_us", fleetNanos / NANOS_PER_MICRO / fleet.size() / schedule.count);
    fleet.putActivationLatencies(changedAt, source, metrics);
    if (reference != null && reference.wasReady()) {
      metrics.put("w_idle_us_s", referenceIdle * MICROS_PER_SECOND);
      metrics.put("w_change_us", referenceNanos / NANOS_PER_MICRO / schedule.count);
      measureLatency(reference, schedule.perSecond, metrics);
    }
  }

  /** Makes changes that are not measured, unless times say little anyway. */
  private void warmUp(ControlOnlyFleet fleet, ChangeSchedule schedule) throws InterruptedException {
    if (environment.hasReferences()) {
      int notifications = MAX_WARM_UP_NOTIFICATIONS / fleet.size();
      int count = Math.min(MAX_WARM_UP_CHANGES, Math.max(schedule.perSecond, notifications));
      change(count, count);
      Thread.sleep(WARM_UP_PAUSE_MILLIS);
    }
  }

  /** Puts the latency of requests when idle and while there are changes. */
  private void measureLatency(ReferenceProxy reference, int perSecond, Map<String, Double> metrics)
      throws InterruptedException {
    new LatencyProbe(reference.address()).endAfter(PROBE_WARM_UP_MILLIS);
    metrics.put("w_p99_ms", new LatencyProbe(reference.address()).endAfter(PROBE_MILLIS));
    LatencyProbe probe = new LatencyProbe(reference.address());
    change(2 * perSecond, perSecond);
    metrics.put("w_p99_beside_ms", probe.endAfter(0));
  }

  /** Makes that many changes of one entry each, evenly; returns when each was made. */
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
