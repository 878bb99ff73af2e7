package wheattrack.policy;

import wheattrack.state.BackendState;
import wheattrack.state.OpenRequest;
import wheattrack.state.PolicyState;

/**
 * Rejects requests before they are sent: a share of all while too many end late, heavy ones that
 * cannot finish in time, and those for which every backend has too long a queue.
 */
final class AdmissionControl {
  /**
   * Fraction of a time limit: a backend whose mean wait exceeds this fraction of the tightest
   * latency objective counts as overloaded, and admits only requests that wait for no more than
   * this fraction of their time left.
   */
  static final double TOLERATED_WAIT_FRACTION = 0.125;

  /** Share of the requests sent that may end late before load is shed. */
  private static final double TOLERATED_LATE_SHARE = 0.1;

  /** Upper bound of the shed share; with a share of 1 no request would be sent under load. */
  private static final double MAX_SHED_SHARE = 0.95;

  /**
   * A lower shed share is set to 0: a share that is only halved each second never reaches 0, and
   * would go on rejecting single requests.
   */
  private static final double MIN_SHED_SHARE = 0.01;

  /** Each second the shed share moves towards its target by the difference divided by this. */
  private static final int SHED_SHARE_SMOOTHING_DIVISOR = 2;

  /** A request is heavy if it costs more than this many times the mean. */
  private static final int HEAVY_COST_MULTIPLE = 2;

  private final PolicyState state;
  private double shedShare;
  private long tooHeavySince; // in ticks; 0 while no request is rejected as too heavy

  AdmissionControl(PolicyState state) {
    this.state = state;
  }

  /** The share of requests to be shed because too many of those sent end late. */
  double shedShare() {
    return shedShare;
  }

  /**
   * Draws whether a new request is shed. The probability is the shed share to the power of the
   * request's relative expected value, so that requests of low value are shed more often.
   */
  boolean shouldShed(OpenRequest request) {
    return request.attempts().isEmpty()
        && shedShare > 0
        && !state.isIdle()
        && state.random().draw() < Math.pow(shedShare, request.relativeExpectedValue());
  }

  /**
   * Whether a heavy request is expected to miss its deadline even on an idle backend. As the
   * estimate may be wrong, one such request is sent after these rejections have lasted for the
   * tightest latency objective.
   */
  boolean isTooHeavyForDeadline(OpenRequest request, BackendState backend) {
    long now = state.now();
    boolean tooHeavy =
        state.reportedLoad().isExpected()
            && backend != null
            && request.cost() > HEAVY_COST_MULTIPLE * state.costs().meanCost()
            && request.missesDeadlineAt(backend)
            && (tooHeavySince == 0 || now - tooHeavySince < state.tightestObjective());
    if (tooHeavy && tooHeavySince == 0) {
      tooHeavySince = now;
    }
    return tooHeavy;
  }

  /**
   * Whether the wait at a backend is short enough for a request with this much time left. The limit
   * is tighter while the backend's mean wait is high: otherwise requests keep a standing queue
   * filled up to the limit, which has kept backends overloaded for 20 s.
   *
   * @param timeLeft time until the request's objective or deadline, in ticks
   */
  boolean admits(BackendState backend, long timeLeft) {
    long now = state.now();
    if (state.isIdle() && !state.reportedLoad().isFresh(backend, now)) {
      return true; // estimates may be wrong, and a single request corrects them
    }
    double meanTime = state.costs().meanCost() / state.throughput().costPerTick(backend);
    double toleratedWait = Math.max(TOLERATED_WAIT_FRACTION * state.tightestObjective(), meanTime);
    double limit = timeLeft;
    if (backend.meanWait() > toleratedWait) {
      limit = Math.min(timeLeft, Math.max(TOLERATED_WAIT_FRACTION * timeLeft, meanTime));
    }
    return state.waits().waitAt(backend) <= limit;
  }

  /** Records that an attempt was sent, which ends a period of rejecting heavy requests. */
  void onAttemptSent() {
    tooHeavySince = 0;
  }

  /** Adapts the shed share to the recent late requests; must be called once a second. */
  void updateShedShare() {
    double excess = state.lateness().excessLateShare(TOLERATED_LATE_SHARE);
    double target = Math.max(0, Math.min(MAX_SHED_SHARE, excess));
    shedShare += (target - shedShare) / SHED_SHARE_SMOOTHING_DIVISOR;
    shedShare = shedShare < MIN_SHED_SHARE ? 0 : shedShare;
  }
}
