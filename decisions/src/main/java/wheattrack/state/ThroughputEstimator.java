package wheattrack.state;

import java.util.Arrays;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * Estimates the cost that a backend completes per tick while this proxy has attempts in flight
 * there. One proxy of many sends little to a single backend, so the estimate of a backend is shrunk
 * towards that of its kind, and that of a kind towards the mean of all. Sums decay every second,
 * those of a kind more slowly. Not thread-safe.
 */
public final class ThroughputEstimator {
  /** Sums of a backend kept from one second to the next, where it is visited often. */
  static final double KEEP_PER_SECOND = 0.8;

  /** Sums of a kind kept from one second to the next. */
  private static final double KIND_KEEP_PER_SECOND = 0.95;

  private final BackendTable backends;
  private final double[] kindCost = new double[BackendState.MAX_KINDS];
  private final double[] kindBusyTime = new double[BackendState.MAX_KINDS];
  private final double[] kindInFlightTime = new double[BackendState.MAX_KINDS];
  private final double[] kindSpeed = new double[BackendState.MAX_KINDS];
  private boolean loadReported;
  private double fleetPace = 1;
  private double warmRate;
  private double keep = KEEP_PER_SECOND;

  ThroughputEstimator(BackendTable backends) {
    this.backends = backends;
    Arrays.fill(kindSpeed, 1);
  }

  /**
   * Sets whether backends report their load. If so, the cost ahead of an attempt is known, and busy
   * time is counted once for each attempt in flight.
   */
  void setLoadReported(boolean reported) {
    loadReported = reported;
  }

  /** Updates a backend's busy time up to now. */
  public void settle(BackendState backend, long now) {
    long elapsed = backend.settle(now);
    if (backend.inFlight() > 0) {
      double work = loadReported ? elapsed * backend.inFlight() : elapsed;
      backend.addBusyTime(work, elapsed);
      kindBusyTime[backend.kind()] += work * backend.weight();
      kindInFlightTime[backend.kind()] += elapsed * backend.inFlight();
    }
    backend.drainAbandonedCost(elapsed * paceOf(backend));
  }

  /**
   * Records cost that a backend has completed; it includes the cost ahead of the attempt, since the
   * measured time includes that wait.
   */
  void addCostDone(BackendState backend, double cost) {
    backend.addCostDone(cost);
    kindCost[backend.kind()] += cost;
  }

  /** Cost that a backend completes for this proxy per tick with attempts in flight. */
  public double paceOf(BackendState backend) {
    double prior = Ticks.SECOND / 2.0;
    return (backend.costDone() + prior * paceOfKind(backend)) / (backend.busyTime() + prior);
  }

  /** The same estimate from the backend's kind and weight alone. */
  public double paceOfKind(BackendState backend) {
    int kind = backend.kind();
    return backend.weight()
        * (kindCost[kind] + 2 * Ticks.SECOND * fleetPace)
        / (kindBusyTime[kind] + 2 * Ticks.SECOND);
  }

  /** The speed of a backend's kind relative to all backends. */
  public double speedOfKind(BackendState backend) {
    return kindSpeed[backend.kind()];
  }

  /**
   * Cost that a warm backend of weight 1 completes for this proxy per tick, idle or not; 0 if
   * unknown.
   */
  public double warmRate() {
    return warmRate;
  }

  /**
   * Updates the estimates with the last second.
   *
   * @param warm backends of the partition that are warm and not ejected
   * @param arrivals decayed count of requests accepted
   * @param partitionSize backends that this proxy sends to
   */
  void foldSecond(List<BackendState> warm, double arrivals, int partitionSize, long now) {
    double cost = 0;
    double time = 0;
    for (BackendState backend : backends.all()) {
      settle(backend, now);
      cost += backend.costDone();
      time += backend.busyTime() * backend.weight();
    }
    double warmWeight = 0;
    double warmCost = 0;
    for (BackendState backend : warm) {
      warmWeight += backend.weight();
      warmCost += backend.costDone();
    }
    warmRate = warmWeight > 0 ? warmCost * (1 - keep) / Ticks.SECOND / warmWeight : warmRate;
    fleetPace = time > 0 && cost > 0 ? cost / time : fleetPace;
    foldKinds();
    double visits = arrivals * (1 - KEEP_PER_SECOND * KEEP_PER_SECOND) / Math.max(1, partitionSize);
    keep = Math.pow(KEEP_PER_SECOND, Math.min(1, visits));
    backends.all().forEach(backend -> backend.decay(keep));
  }

  private void foldKinds() {
    double fleet =
        Arrays.stream(kindCost).sum() / Math.max(1, Arrays.stream(kindInFlightTime).sum());
    for (int kind = 0; kind < kindSpeed.length; kind++) {
      double cost = kindCost[kind] + Ticks.SECOND * fleet;
      double expected = (kindInFlightTime[kind] + Ticks.SECOND) * fleet;
      kindSpeed[kind] = fleet > 0 ? cost / expected : 1;
    }
    DoubleUnaryOperator decay = value -> value * KIND_KEEP_PER_SECOND;
    replaceAll(kindInFlightTime, decay);
    replaceAll(kindCost, decay);
    replaceAll(kindBusyTime, decay);
  }

  /** Converts all costs to a new unit. */
  void scaleCosts(double factor) {
    replaceAll(kindCost, cost -> cost * factor);
    fleetPace *= factor;
    warmRate *= factor;
  }

  private static void replaceAll(double[] values, DoubleUnaryOperator change) {
    Arrays.setAll(values, i -> change.applyAsDouble(values[i]));
  }
}
