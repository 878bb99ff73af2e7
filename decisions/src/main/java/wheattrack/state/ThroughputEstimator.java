package wheattrack.state;

import java.util.Arrays;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * Estimates the cost that a backend completes per tick while this proxy has attempts in flight
 * there. One of many proxies sends little to a single backend, so the estimate for a backend is
 * shrunk towards that for its kind, and that for a kind towards the mean of all. Sums decay every
 * second, those of a kind more slowly. Not thread-safe.
 */
public final class ThroughputEstimator {
  /**
   * Factor by which a backend's sums decay each second if it gets an attempt at least that often.
   */
  static final double DECAY_PER_SECOND = 0.8;

  /** Factor by which a kind's sums decay each second. */
  private static final double KIND_DECAY_PER_SECOND = 0.95;

  /** Busy time by which a backend's estimate is shrunk towards that of its kind, in ticks. */
  private static final double BACKEND_PRIOR_TIME = Ticks.SECOND / 2.0;

  /** Busy time by which a kind's estimate is shrunk towards the mean of all, in ticks. */
  private static final long KIND_PRIOR_TIME = 2 * Ticks.SECOND;

  /** Time by which a kind's speed is shrunk towards that of all backends, in ticks. */
  private static final long KIND_SPEED_PRIOR_TIME = Ticks.SECOND;

  private final BackendTable backends;
  private final double[] kindCost = new double[BackendState.MAX_KINDS];
  private final double[] kindBusyTime = new double[BackendState.MAX_KINDS];
  private final double[] kindInFlightTime = new double[BackendState.MAX_KINDS];
  private final double[] kindSpeed = new double[BackendState.MAX_KINDS];
  private boolean loadReported;
  private double fleetCostPerTick = 1;
  private double warmRate;
  private double decayFactor = DECAY_PER_SECOND;

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

  /**
   * Counts a backend's busy time up to now; must be called before its attempts in flight change.
   */
  public void updateBusyTime(BackendState backend, long now) {
    long elapsed = backend.startBusyTimePeriod(now);
    if (backend.inFlight() > 0) {
      double countedTime = loadReported ? elapsed * backend.inFlight() : elapsed;
      backend.addBusyTime(countedTime, elapsed);
      kindBusyTime[backend.kind()] += countedTime * backend.weight();
      kindInFlightTime[backend.kind()] += elapsed * backend.inFlight();
    }
    backend.drainAbandonedCost(elapsed * costPerTick(backend));
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
  public double costPerTick(BackendState backend) {
    return (backend.costDone() + BACKEND_PRIOR_TIME * costPerTickOfKind(backend))
        / (backend.busyTime() + BACKEND_PRIOR_TIME);
  }

  /** The same, estimated from the backend's kind and weight alone. */
  public double costPerTickOfKind(BackendState backend) {
    int kind = backend.kind();
    return backend.weight()
        * (kindCost[kind] + KIND_PRIOR_TIME * fleetCostPerTick)
        / (kindBusyTime[kind] + KIND_PRIOR_TIME);
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
  void updateEstimates(List<BackendState> warm, double arrivals, int partitionSize, long now) {
    double cost = 0;
    double time = 0;
    for (BackendState backend : backends.all()) {
      updateBusyTime(backend, now);
      cost += backend.costDone();
      time += backend.busyTime() * backend.weight();
    }
    double warmWeight = 0;
    double warmCost = 0;
    for (BackendState backend : warm) {
      warmWeight += backend.weight();
      warmCost += backend.costDone();
    }
    warmRate = warmWeight > 0 ? warmCost * (1 - decayFactor) / Ticks.SECOND / warmWeight : warmRate;
    fleetCostPerTick = time > 0 && cost > 0 ? cost / time : fleetCostPerTick;
    updateKinds();
    // the count of arrivals decays by the squared factor, so this is their mean number per second
    double arrivalsPerBackend =
        arrivals * (1 - DECAY_PER_SECOND * DECAY_PER_SECOND) / Math.max(1, partitionSize);
    decayFactor = Math.pow(DECAY_PER_SECOND, Math.min(1, arrivalsPerBackend));
    backends.all().forEach(backend -> backend.decay(decayFactor));
  }

  private void updateKinds() {
    double fleetCostPerAttemptTick =
        Arrays.stream(kindCost).sum() / Math.max(1, Arrays.stream(kindInFlightTime).sum());
    for (int kind = 0; kind < kindSpeed.length; kind++) {
      double cost = kindCost[kind] + KIND_SPEED_PRIOR_TIME * fleetCostPerAttemptTick;
      double expected = (kindInFlightTime[kind] + KIND_SPEED_PRIOR_TIME) * fleetCostPerAttemptTick;
      kindSpeed[kind] = fleetCostPerAttemptTick > 0 ? cost / expected : 1;
    }
    DoubleUnaryOperator decay = value -> value * KIND_DECAY_PER_SECOND;
    replaceAll(kindInFlightTime, decay);
    replaceAll(kindCost, decay);
    replaceAll(kindBusyTime, decay);
  }

  /** Converts all costs to a new unit. */
  void scaleCosts(double factor) {
    replaceAll(kindCost, cost -> cost * factor);
    fleetCostPerTick *= factor;
    warmRate *= factor;
  }

  private static void replaceAll(double[] values, DoubleUnaryOperator change) {
    Arrays.setAll(values, i -> change.applyAsDouble(values[i]));
  }
}
