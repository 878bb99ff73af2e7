package wheattrack.state;

/**
 * Estimates how long a request would wait at a backend: from its load report if there is a fresh
 * one, else from this proxy's attempts in flight there and from how far latencies exceed what the
 * cost hints explain, which shows the traffic of other proxies. Not thread-safe.
 */
public final class WaitEstimator {
  /** Below this busy time, in ticks, latencies don't tell how much other proxies send. */
  private static final long MIN_BUSY_TIME = Ticks.SECOND / 2;

  /**
   * A mean request is expected to take the mean cost, plus this many times the mean cost divided by
   * the number of proxies. Only time beyond that counts as a wait.
   */
  private static final double EXPECTED_TIME_PROXIES = 6.0;

  private final PolicyState state;

  WaitEstimator(PolicyState state) {
    this.state = state;
  }

  /** The time that work of this cost would take if it were sent now, in ticks. */
  public double timeToFinish(BackendState backend, double cost) {
    long now = state.now();
    state.throughput().updateBusyTime(backend, now);
    double ahead =
        state.reportedLoad().isFresh(backend, now)
            ? state.reportedLoad().costAhead(backend, state.costs().meanCost())
            : backend.inFlightCost() + backend.abandonedCost();
    return (ahead + cost) / state.throughput().costPerTick(backend);
  }

  /** The wait of a request if it were sent now, in ticks. */
  public double waitAt(BackendState backend) {
    double meanCost = state.costs().meanCost();
    if (state.reportedLoad().isFresh(backend, state.now())) {
      return state.reportedLoad().costAhead(backend, meanCost)
          / state.throughput().costPerTick(backend);
    }
    // A part of the mean cost is subtracted: a single mean request of this proxy in flight must not
    // make a backend count as busy.
    double waitByOwnLoad =
        Math.max(0, timeToFinish(backend, (int) (-meanCost / state.proxyCount())));
    if (!state.costs().hasHints() || backend.busyTime() < MIN_BUSY_TIME) {
      boolean reported = state.reportedLoad().isExpected();
      return reported ? waitByOwnLoad : waitByOwnLoad * state.proxiesPerBackend();
    }
    double expectedTime = (1 + EXPECTED_TIME_PROXIES / state.proxyCount()) * meanCost;
    return Math.max(waitByOwnLoad, timeToFinish(backend, (int) meanCost) - expectedTime);
  }

  /**
   * Updates the mean wait at a backend over about a second; must be called once for each tenth of
   * the tightest objective.
   */
  public void updateMeanWait(BackendState backend) {
    backend.updateMeanWait(waitAt(backend), state.tightestObjective());
  }
}
