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
  /** Number of proxies that use each backend when the subsets are larger than their minimum. */
  private static final int PROXIES_PER_BACKEND = 4;

  /** Least size of a subset, in backends. */
  private static final int MIN_BACKENDS = 8;

  // With load reports a smaller subset suffices: its least size is the number of idle connections
  // that this proxy's traffic keeps open, within these bounds.
  private static final int MIN_BACKENDS_WITH_REPORTS = 2;
  private static final int MAX_MIN_BACKENDS_WITH_REPORTS = 6;

  /** Backends by which the subset grows for each ejected one, less the number below. */
  private static final int BACKENDS_ADDED_PER_EJECTED = 4;

  /**
   * This many times the regular size is subtracted from that growth: the subset grows only while
   * more than half as many backends are ejected as it regularly has.
   */
  private static final int SUBSET_SIZES_WITHOUT_GROWTH = 2;

  /** Cost hints are integers: exactly the hints of value h lie between h - 0.5 and h + 0.5. */
  private static final double HALF_HINT = 0.5;

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
  BackendState at(int position) {
    return backends[position % backends.length];
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
    int regularSize = subsetSize(ready.length);
    // with many backends ejected, the rest of a small subset would be overloaded by its traffic
    int added =
        BACKENDS_ADDED_PER_EJECTED * outliers.ejectedCount()
            - SUBSET_SIZES_WITHOUT_GROWTH * regularSize;
    int size = Math.min(ready.length, regularSize + Math.max(0, added));
    long start = (long) state.proxyIndex() * regularSize;
    backends =
        IntStream.range(0, ready.length)
            .filter(i -> Math.floorMod(i - start, ready.length) < size)
            .mapToObj(i -> ready[i])
            .toArray(BackendState[]::new);
    state.setProxiesPerBackend((double) state.proxyCount() * size / Math.max(1, ready.length));
    state.failureRates().updateMedian(backends);
    outliers.recount(backends);
    computeShares();
  }

  private int subsetSize(int readyCount) {
    int minSize = MIN_BACKENDS;
    if (state.reportedLoad().isExpected()) {
      double bounded =
          Math.min(MAX_MIN_BACKENDS_WITH_REPORTS, state.traffic().expectedIdleConnections());
      minSize = (int) Math.max(MIN_BACKENDS_WITH_REPORTS, bounded);
    }
    return (int) Math.max(minSize, PROXIES_PER_BACKEND * readyCount * state.traffic().ownShare());
  }

  private void computeShares() {
    cumulativeShares = new double[backends.length];
    double sum = 0;
    for (int i = 0; i < backends.length; i++) {
      BackendState backend = backends[i];
      double relativeThroughput =
          state.throughput().costPerTick(backend) / state.throughput().costPerTickOfKind(backend);
      backend.setShare(
          backend.weight()
              * state.throughput().speedOfKind(backend)
              * Math.sqrt(relativeThroughput)
              * state.failureRates().healthOf(backend)
              * state.warmUp().capacityFraction(backend)
              * state.zoneWeights().of(backend));
      sum += backend.share();
      cumulativeShares[i] = sum;
    }
  }

  /**
   * The position of the backend whose interval contains a hint; the partition must not be empty. If
   * the requests of one hint span several intervals, one is drawn in proportion to the cost that it
   * covers. The hint counts as one more sample of the window, so that the choice is nearly random
   * while there are few samples. Without a hint the choice is uniform.
   *
   * @param hint the cost hint; 0 or less if there is none
   */
  int positionOf(int hint) {
    double draw = state.random().draw();
    if (hint <= 0) {
      return (int) (draw * backends.length);
    }
    CostModel costs = state.costs();
    double hintCost = costs.costOf(hint);
    double costBelow = costs.costOfSmallest(costs.hintsBelow(hint - HALF_HINT));
    double costUpTo = costs.costOfSmallest(costs.hintsBelow(hint + HALF_HINT)) + hintCost;
    double shareAt =
        (costBelow + draw * (costUpTo - costBelow)) / (costs.totalCost() + hintCost) * totalShare();
    int i = Arrays.binarySearch(cumulativeShares, shareAt);
    return Math.min(backends.length - 1, i < 0 ? -i - 1 : i + 1);
  }
}
