package wheattrack.policy;

import wheattrack.state.BackendState;
import wheattrack.state.PolicyState;

/**
 * Keeps the proxies together from overloading backends that warm up. The proxies begin to send to a
 * new backend one after the other, each within a budget of cost that refills at this proxy's part
 * of the rate that the backend sustains.
 */
final class SlowStart {
  /**
   * Fraction of a backend's capacity that is left for bursts; divided by the number of proxies that
   * send to it.
   */
  private static final double BURST_FRACTION = 0.25;

  /** The overload time divided by this is the time between the starts of two proxies. */
  private static final int START_INTERVAL_DIVISOR = 4;

  /** The warm-up time divided by this is the time within which all proxies start. */
  private static final int START_PERIOD_DIVISOR = 2;

  /** The budget of a whole overload time divided by this may be spent in one burst. */
  private static final int BURST_DIVISOR = 3;

  private final PolicyState state;

  SlowStart(PolicyState state) {
    this.state = state;
  }

  /**
   * Resets the budget after a restart. A random part of a mean cost counts as spent, so that the
   * proxies do not send at the same time.
   */
  void restart(BackendState backend) {
    backend.setSlowStartSpent(state.costs().meanCost() * state.random().draw(), state.now());
  }

  /**
   * Charges the budget with an attempt of this cost; a light request is charged with the mean cost.
   */
  void spend(BackendState backend, double cost) {
    backend.spendSlowStart(Math.max(cost, state.costs().meanCost()));
  }

  /**
   * Whether this proxy may begin to use a backend at its age. The proxies begin one interval after
   * the other, in the order of their indices.
   */
  private boolean hasStartTimeCome(BackendState backend) {
    long interval =
        Math.max(1, state.settings().slowStart().overloadTime() / START_INTERVAL_DIVISOR);
    long maxIntervals = state.settings().slowStart().warmUpTime() / START_PERIOD_DIVISOR / interval;
    long intervals = Math.max(1, Math.min((long) state.proxiesPerBackend(), maxIntervals));
    return backend.age(state.now()) >= state.proxyIndex() % intervals * interval;
  }

  /**
   * Whether this proxy may send a request of this cost to a backend now. Without this limit,
   * backends that have just started are overloaded and fail.
   *
   * @param partitionSize number of backends that this proxy uses
   */
  boolean permits(BackendState backend, double cost, int partitionSize) {
    if (!hasStartTimeCome(backend)) {
      return false;
    }
    if (state.warmUp().isWarm(backend)) {
      return true;
    }
    if (state.throughput().warmRate() == 0) {
      return backend.inFlight() == 0 && (partitionSize <= 1 || state.isIdle());
    }
    double reliableFraction = 1 - BURST_FRACTION / state.proxiesPerBackend();
    double multiple = state.settings().slowStart().overloadMultiple();
    double rate = multiple * state.warmUp().rate(backend, reliableFraction);
    backend.refillSlowStart(rate, state.now());
    double meanCost = state.costs().meanCost();
    double needed = Math.max(cost, meanCost);
    double windowBudget = rate * state.settings().slowStart().overloadTime();
    // a burst may spend a third of the budget, or more for a single request that is not heavy
    double largestSingle = Math.min(needed, Math.max(windowBudget, meanCost));
    double burstBudget = Math.max(windowBudget / BURST_DIVISOR, largestSingle);
    return backend.slowStartSpent() + needed <= burstBudget;
  }
}
