package wheattrack.lab.scale;

import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures changes of a source at an even rate: what each costs beyond the idle state, when it
 * takes effect, and how long requests take meanwhile.
 */
final class SteadyChanges {
  /**
   * How many changes are made, and at which rate.
   *
   * @param count the number of changes
   * @param perSecond changes per second
   */
  record ChangeSchedule(int count, int perSecond) {
    /** For a few watchers. */
    static final ChangeSchedule FAST = new ChangeSchedule(200, 100);

    /** For thousands of watchers. */
    static final ChangeSchedule SLOW = new ChangeSchedule(20, 5);
  }

  /**
   * Bounds the unmeasured changes that let the JIT compile the code, as in a long-running proxy.
   */
  private static final int MAX_WARM_UP_CHANGES = 200;

  /** Bounds the notifications to all proxies of a fleet in the second of warm-up. */
  private static final int MAX_WARM_UP_NOTIFICATIONS = 30_000;

  private static final long WARM_UP_PAUSE_MILLIS = 500;

  /** How long the idle state is measured if there are reference proxies. */
  private static final long IDLE_MILLIS = 2000;

  /** How long it is measured otherwise, when its cost is compared with nothing. */
  private static final long SHORT_IDLE_MILLIS = 100;

  /** Time for the last change to take effect everywhere. */
  private static final long SETTLE_MILLIS = 800;

  private static final long PROBE_WARM_UP_MILLIS = 1000;
  private static final long PROBE_MILLIS = 2000;

  // Factors of the index of the entry that a change applies to.
  private static final int SEED_FACTOR = 31;
  private static final long CHANGE_FACTOR = 7L;

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double NANOS_PER_MICRO = 1e3;

  private final ScaleEnvironment environment;
  private final SourceServer source;
  private final int entries;

  /**
   * Prepares the measurement.
   *
   * @param entries how many entries the source has; successive changes apply to different ones
   */
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

  /** Makes changes that are not measured; none if there are no reference proxies. */
  private void warmUp(ControlOnlyFleet fleet, ChangeSchedule schedule) throws InterruptedException {
    if (environment.hasReferences()) {
      int notifications = MAX_WARM_UP_NOTIFICATIONS / fleet.size();
      int count = Math.min(MAX_WARM_UP_CHANGES, Math.max(schedule.perSecond, notifications));
      change(count, count);
      Thread.sleep(WARM_UP_PAUSE_MILLIS);
    }
  }

  /** Puts the latency of requests in the idle state and while changes are made. */
  private void measureLatency(ReferenceProxy reference, int perSecond, Map<String, Double> metrics)
      throws InterruptedException {
    new LatencyProbe(reference.address()).endAfter(PROBE_WARM_UP_MILLIS);
    metrics.put("w_p99_ms", new LatencyProbe(reference.address()).endAfter(PROBE_MILLIS));
    LatencyProbe probe = new LatencyProbe(reference.address());
    change(2 * perSecond, perSecond);
    // the 99th percentile while changes are made
    metrics.put("w_p99_beside_ms", probe.endAfter(0));
  }

  /**
   * Makes changes of one entry each at an even rate; returns when each was made, in nanoseconds.
   */
  private long[] change(int count, int perSecond) throws InterruptedException {
    long start = System.nanoTime();
    long[] changedAt = new long[count];
    for (int i = 0; i < count; i++) {
      long changeAt = start + i * ScaleEnvironment.NANOS_PER_SECOND / perSecond;
      TimeUnit.NANOSECONDS.sleep(Math.max(0, changeAt - System.nanoTime()));
      changedAt[i] = System.nanoTime();
      source.change((int) ((environment.seed() * SEED_FACTOR + i * CHANGE_FACTOR) % entries), 1);
    }
    return changedAt;
  }
}
