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

  /** The part of its capacity that a backend has by its age; 1 if it is warm. */
  public double warmth(BackendState backend) {
    if (isWarm(backend)) {
      return 1;
    }
    double initial = state.settings().slowStart().initialCapacity();
    double age = Math.max(0, (double) backend.age(state.now()));
    return initial + (1 - initial) * age / state.settings().slowStart().warmUpTime();
  }

  /**
   * This proxy's part of the cost that a backend can do in a tick: by its warmth and what warm
   * backends or its kind do, or by what it has shown.
   *
   * @param safePart the part that is counted on where other proxies send there too
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
