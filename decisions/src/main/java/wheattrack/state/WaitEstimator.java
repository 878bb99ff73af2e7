package wheattrack.state;

/**
 * How long a request would wait at a backend: by its load report where there is a fresh one, else
 * by this proxy's own attempts in flight there and by how far latencies exceed what hints explain,
 * which shows the traffic of other proxies. Not thread-safe.
 */
public final class WaitEstimator {
  private final PolicyState state;

  WaitEstimator(PolicyState state) {
    this.state = state;
  }

  /** How long a cost sent there now would take, by what is known to be there. */
  public double timeToFinish(BackendState backend, double cost) {
    long now = state.now();
    state.throughput().settle(backend, now);
    double ahead =
        state.reportedLoad().isFresh(backend, now)
            ? state.reportedLoad().costAhead(backend, state.costs().meanCost())
            : backend.inFlightCost() + backend.abandonedCost();
    return (ahead + cost) / state.throughput().paceOf(backend);
  }

  /** The wait of a request sent there now. */
  public double waitAt(BackendState backend) {
    double meanCost = state.costs().meanCost();
    if (state.reportedLoad().isFresh(backend, state.now())) {
      return state.reportedLoad().costAhead(backend, meanCost) / state.throughput().paceOf(backend);
    }
    // incident: idle backends were held for busy by a mean request of this proxy itself
    double byOwnLoad = Math.max(0, timeToFinish(backend, (int) (-meanCost / state.proxyCount())));
    if (!state.costs().hasHints() || backend.busyTime() < Ticks.SECOND / 2) {
      boolean reported = state.reportedLoad().isExpected();
      return reported ? byOwnLoad : byOwnLoad * state.proxiesPerBackend();
    }
    double explained = (1 + 6.0 / state.proxyCount()) * meanCost;
    return Math.max(byOwnLoad, timeToFinish(backend, (int) meanCost) - explained);
  }

  /**
   * Averages the wait at a backend over about a second; to be called each tenth of the objective.
   */
  public void averageWait(BackendState backend) {
    backend.averageWait(waitAt(backend), state.tightestObjective());
  }
}
