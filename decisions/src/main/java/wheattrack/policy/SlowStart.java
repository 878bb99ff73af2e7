package wheattrack.policy;

import wheattrack.state.BackendState;
import wheattrack.state.PolicyState;

/**
 * Rule four: backends that warm up are not overloaded by all proxies together. Proxies begin to
 * send one after the other, each within a budget that refills at the rate that the backend can
 * sustain.
 */
final class SlowStart {
  // fraction of the bearable load that may arrive at once
  private static final double BURST_PART = 0.25;

  private final PolicyState state;

  SlowStart(PolicyState state) {
    this.state = state;
  }

  /** After a restart a random part of the budget is spent, so that proxies do not send in step. */
  void restart(BackendState backend) {
    backend.setSlowStartSpent(state.costs().meanCost() * state.random().draw(), state.now());
  }

  /** Charges an attempt of this cost; light requests are charged as mean ones. */
  void spend(BackendState backend, double cost) {
    backend.spendSlowStart(Math.max(cost, state.costs().meanCost()));
  }

  /** Proxies begin to use a new backend in turns by index, one more proxy with each turn. */
  private boolean isOurTurn(BackendState backend) {
    long turn = Math.max(1, state.settings().slowStart().overloadTime() / 4);
    long warmUpTurns = state.settings().slowStart().warmUpTime() / 2 / turn;
    long turns = Math.max(1, Math.min((long) state.proxiesPerBackend(), warmUpTurns));
    return backend.age(state.now()) >= state.proxyIndex() % turns * turn;
  }

  /**
   * Whether a backend can take a request of this cost from this proxy now. Incident: backends that
   * had just started were overloaded and failed.
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
    double safePart = 1 - BURST_PART / state.proxiesPerBackend();
    double multiple = state.settings().slowStart().overloadMultiple();
    double rate = multiple * state.warmUp().rate(backend, safePart);
    backend.refillSlowStart(rate, state.now());
    double meanCost = state.costs().meanCost();
    double needed = Math.max(cost, meanCost);
    double window = rate * state.settings().slowStart().overloadTime();
    // a third of the window's budget at once; or a single request that is not heavy
    double atOnce = Math.max(window / 3, Math.min(needed, Math.max(window, meanCost)));
    return backend.slowStartSpent() + needed <= atOnce;
  }
}
