package wheattrack.state;

/**
 * Estimates how long a request would wait at a backend: from its load report if there is a fresh
 * one, else from this proxy's attempts in flight there and from how far latencies exceed what the
 * cost hints explain, which shows the traffic of other proxies. Not thread-safe.
 */
public final class WaitEstimator {
  private final PolicyState state;

  WaitEstimator(PolicyState state) {
    this.state = state;
  }

  /** The time that work of this cost would take if it were sent now, in ticks. */
  public double timeToFinish(BackendState backend, double cost) {
    long now = state.now();
    state.throughput().settle(backend, now);
    double ahead =
        state.reportedLoad().isFresh(backend, now)
            ? state.reportedLoad().costAhead(backend, state.costs().meanCost())
            : backend.inFlightCost() + backend.abandonedCost();
    return (ahead + cost) / state.throughput().paceOf(backend);
  }

  /** The wait of a request if it were sent now, in ticks. */
  public double waitAt(BackendState backend) {
    double meanCost = state.costs().meanCost();
    if (state.reportedLoad().isFresh(backend, state.now())) {
      return state.reportedLoad().costAhead(backend, meanCost) / state.throughput().paceOf(backend);
    }
    // incident: a single mean request of this proxy made idle backends count as busy
    double byOwnLoad = Math.max(0, timeToFinish(backend, (int) (-meanCost / state.proxyCount())));
    if (!state.costs().hasHints() || backend.busyTime() < Ticks.SECOND / 2) {
      boolean reported = state.reportedLoad().isExpected();
      return reported ? byOwnLoad : byOwnLoad * state.proxiesPerBackend();
    }
    double explained = (1 + 6.0 / state.proxyCount()) * meanCost;
    return Math.max(byOwnLoad, timeToFinish(backend, (int) meanCost) - explained);
  }

  /**
   * Updates the mean wait at a backend over about a second; must be called once for each tenth of
   * the tightest objective.
   */
  public void averageWait(BackendState backend) {
    backend.averageWait(waitAt(backend), state.tightestObjective());
  }
}
