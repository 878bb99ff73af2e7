package wheattrack.state;

/**
 * Capacity of a backend that warms up, by its age and its own throughput so far. Not thread-safe.
 */
public final class WarmUpModel {
  /**
   * The rate of warm backends divided by this is relied on for a warming backend, as if it had its
   * full capacity already.
   */
  private static final int WARM_RATE_DIVISOR = 3;

  /** Time added to a backend's busy time, so that a short measurement counts little; in ticks. */
  private static final double PRIOR_BUSY_TIME = Ticks.SECOND / 2.0;

  private final PolicyState state;

  WarmUpModel(PolicyState state) {
    this.state = state;
  }

  /** Whether a backend has been running for the warm-up time. */
  public boolean isWarm(BackendState backend) {
    return backend.age(state.now()) >= state.settings().slowStart().warmUpTime();
  }

  /** The fraction of its capacity that a backend has at its age; 1 if it is warm. */
  public double capacityFraction(BackendState backend) {
    if (isWarm(backend)) {
      return 1;
    }
    double initial = state.settings().slowStart().initialCapacity();
    double age = Math.max(0, (double) backend.age(state.now()));
    return initial + (1 - initial) * age / state.settings().slowStart().warmUpTime();
  }

  /**
   * This proxy's part of the cost that a backend can complete per tick: estimated from its age and
   * the throughput of warm backends or of its kind, or from its own measured throughput.
   *
   * @param reliableFraction the fraction of a backend's throughput that this proxy may rely on, as
   *     other proxies send to the backend too
   */
  public double rate(BackendState backend, double reliableFraction) {
    double proxies = state.proxiesPerBackend();
    double rateOfWarmBackends =
        state.throughput().warmRate() * backend.weight() / WARM_RATE_DIVISOR;
    double rateOfKind = reliableFraction * state.throughput().costPerTickOfKind(backend) / proxies;
    double expectedRate = Math.max(rateOfWarmBackends, rateOfKind);
    double measuredRate =
        reliableFraction * backend.costDone() / (backend.busyTime() + PRIOR_BUSY_TIME) / proxies;
    return Math.max(capacityFraction(backend) * expectedRate, measuredRate);
  }
}
