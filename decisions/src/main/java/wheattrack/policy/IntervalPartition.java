package wheattrack.policy;

import java.util.Arrays;
import java.util.stream.IntStream;
import wheattrack.state.BackendState;
import wheattrack.state.CostModel;
import wheattrack.state.PolicyState;

/**
 * The EQUILOAD partition (docs/design.md): the range of recent cost hints is divided into one
 * contiguous interval per ready backend, in id order, such that the summed costs are proportional
 * to the backends' shares. If there are many proxies, each uses a subset of the backends.
 */
final class IntervalPartition {
  private static final int PROXIES_PER_BACKEND = 4;
  private static final int MIN_BACKENDS = 8;
  // with load reports a smaller subset suffices, bounded by the connections that traffic is worth
  private static final int MIN_BACKENDS_WITH_REPORTS = 2;
  private static final int MAX_MIN_BACKENDS_WITH_REPORTS = 6;

  private final PolicyState state;
  private final OutlierDetector outliers;
  private BackendState[] backends = {};
  private double[] cumulativeShares = {};

  IntervalPartition(PolicyState state, OutlierDetector outliers) {
    this.state = state;
    this.outliers = outliers;
  }

  /** The backends that this proxy uses, in id order; must not be modified. */
  BackendState[] backends() {
    return backends;
  }

  /** The backend at a position; positions past the end wrap around. */
  BackendState at(int place) {
    return backends[place % backends.length];
  }

  int size() {
    return backends.length;
  }

  /** The sum of all shares; the partition must not be empty. */
  double totalShare() {
    return cumulativeShares[backends.length - 1];
  }

  /** Chooses this proxy's subset of the ready backends and computes their shares. */
  void rebuild() {
    BackendState[] ready = state.backends().readyInIdOrder();
    state.traffic().setReadyBackends(ready.length);
    int part = partSize(ready.length);
    // incident: with many backends ejected, the rest of a small subset could not bear its traffic
    int size = Math.min(ready.length, part + Math.max(0, 4 * outliers.ejectedCount() - 2 * part));
    long start = (long) state.proxyIndex() * part;
    backends =
        IntStream.range(0, ready.length)
            .filter(i -> Math.floorMod(i - start, ready.length) < size)
            .mapToObj(i -> ready[i])
            .toArray(BackendState[]::new);
    state.setProxiesPerBackend((double) state.proxyCount() * size / Math.max(1, ready.length));
    state.failureRates().compareAmong(backends);
    outliers.recount(backends);
    sumShares();
  }

  private int partSize(int readyCount) {
    int least = MIN_BACKENDS;
    if (state.reportedLoad().isExpected()) {
      double bounded = Math.min(MAX_MIN_BACKENDS_WITH_REPORTS, state.traffic().idleConnections());
      least = (int) Math.max(MIN_BACKENDS_WITH_REPORTS, bounded);
    }
    return (int) Math.max(least, PROXIES_PER_BACKEND * readyCount * state.traffic().ownShare());
  }

  private void sumShares() {
    cumulativeShares = new double[backends.length];
    double sum = 0;
    for (int i = 0; i < backends.length; i++) {
      BackendState backend = backends[i];
      double pace = state.throughput().paceOf(backend) / state.throughput().paceOfKind(backend);
      backend.setShare(
          backend.weight()
              * state.throughput().speedOfKind(backend)
              * Math.sqrt(pace)
              * state.failureRates().healthOf(backend)
              * state.warmUp().warmth(backend)
              * state.zoneFactor().of(backend));
      sum += backend.share();
      cumulativeShares[i] = sum;
    }
  }

  /**
   * The position of the backend whose interval contains a hint; the partition must not be empty. A
   * hint at a boundary goes to either side in proportion to the costs covered. It counts as one
   * more sample, so that few samples give a nearly random choice. Without a hint the choice is
   * uniform.
   */
  int place(int hint) {
    double draw = state.random().draw();
    if (hint <= 0) {
      return (int) (draw * backends.length);
    }
    CostModel costs = state.costs();
    double own = costs.costOf(hint);
    double low = costs.costOfSmallest(costs.hintsBelow(hint - 0.5));
    double high = costs.costOfSmallest(costs.hintsBelow(hint + 0.5)) + own;
    double at = (low + draw * (high - low)) / (costs.totalCost() + own) * totalShare();
    int i = Arrays.binarySearch(cumulativeShares, at);
    return Math.min(backends.length - 1, i < 0 ? -i - 1 : i + 1);
  }
}
