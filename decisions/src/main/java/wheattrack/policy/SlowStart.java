package wheattrack.policy;

import wheattrack.state.BackendState;
import wheattrack.state.PolicyState;

/**
 * Rule four: backends that have just started, which warm up, are not pushed over by all proxies
 * together. Each proxy takes its turn, and spends a budget that refills by what the backend can do.
 */
final class SlowStart {
  // part of what a warming backend bears that may come at once
  private static final double BURST_PART = 0.25;

  private final PolicyState state;

  SlowStart(PolicyState state) {
    this.state = state;
  }

  /** Restarted: a random part of the budget is used, lest all proxies send at the same moment. */
  void restart(BackendState backend) {
    backend.setSlowStartSpent(state.costs().meanCost() * state.random().draw(), state.now());
  }

  /** An attempt of this cost is sent: a light request weighs as a mean one. */
  void spend(BackendState backend, double cost) {
    backend.spendSlowStart(Math.max(cost, state.costs().meanCost()));
  }

  /** A just started backend is met in turns by proxy index, by one proxy more with each turn. */
  private boolean isOurTurn(BackendState backend) {
    long turn = Math.max(1, state.settings().slowStart().overloadTime() / 4);
    long warmUpTurns = state.settings().slowStart().warmUpTime() / 2 / turn;
    long turns = Math.max(1, Math.min((long) state.proxiesPerBackend(), warmUpTurns));
    return backend.age(state.now()) >= state.proxyIndex() % turns * turn;
  }

  /**
   * Whether a warming backend bears a request of this cost from this proxy: by what warm backends
   * do for it, or by what this one has shown. Incident: backends that had just started fell over.
   */
  boolean bears(BackendState backend, double cost, int partitionSize) {
    if (!isOurTurn(backend)) {
      return false;
    }
    if (state.warmUp().isWarm(backend)) {
      return true;
    }
    if (state.throughput().warmRate() == 0) {
      return backend.inFlight() == 0 && (partitionSize <= 1 || state.isIdle());
    }
    long now = state.now();
    double safePart = 1 - BURST_PART / state.proxiesPerBackend();
    double multiple = state.settings().slowStart().overloadMultiple();
    double rate = multiple * state.warmUp().rate(backend, safePart);
    double refilled = rate * (now - backend.slowStartSpentAt());
    backend.setSlowStartSpent(Math.max(0, backend.slowStartSpent() - refilled), now);
    double meanCost = state.costs().meanCost();
    double needed = Math.max(cost, meanCost);
    double window = rate * state.settings().slowStart().overloadTime();
    // a part of the window's budget at once; or one request, but not a heavy one
    double atOnce = Math.max(window / 3, Math.min(needed, Math.max(window, meanCost)));
    return backend.slowStartSpent() + needed <= atOnce;
  }
}
