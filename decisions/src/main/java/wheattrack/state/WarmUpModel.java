package wheattrack.state;

/**
 * Capacity of a backend that warms up, by its age and its own throughput so far. Not thread-safe.
 */
public final class WarmUpModel {
  private final PolicyState state;

  WarmUpModel(PolicyState state) {
    this.state = state;
  }

  /** Whether a backend has been running for the warm-up time. */
  public boolean isWarm(BackendState backend) {
    return backend.age(state.now()) >= state.settings().slowStart().warmUpTime();
  }

  /** The fraction of its capacity that a backend has at its age; 1 if it is warm. */
  public double warmth(BackendState backend) {
    if (isWarm(backend)) {
      return 1;
    }
    double initial = state.settings().slowStart().initialCapacity();
    double age = Math.max(0, (double) backend.age(state.now()));
    return initial + (1 - initial) * age / state.settings().slowStart().warmUpTime();
  }

  /**
   * This proxy's part of the cost that a backend can complete per tick: estimated from its warmth
   * and the throughput of warm backends or of its kind, or from its own measured throughput.
   *
   * @param safePart the fraction to rely on, as other proxies send to the backend too
   */
  public double rate(BackendState backend, double safePart) {
    double proxies = state.proxiesPerBackend();
    double byWarmOnes = state.throughput().warmRate() * backend.weight() / 3;
    double byKind = safePart * state.throughput().paceOfKind(backend) / proxies;
    double able = Math.max(byWarmOnes, byKind);
    double shown =
        safePart * backend.costDone() / (backend.busyTime() + Ticks.SECOND / 2.0) / proxies;
    return Math.max(warmth(backend) * able, shown);
  }
}
