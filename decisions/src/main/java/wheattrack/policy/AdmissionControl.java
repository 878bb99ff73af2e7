package wheattrack.policy;

import wheattrack.state.BackendState;
import wheattrack.state.OpenRequest;
import wheattrack.state.PolicyState;

/**
 * Which requests are rejected before they are sent: a share of them while too many end late, those
 * without hope, and those for which each backend has too long a wait.
 */
final class AdmissionControl {
  /** Part of a time limit that a wait may stand at before it counts as overload. */
  static final double TOLERATED_WAIT = 0.125;

  private static final double TOLERATED_LATE_SHARE = 0.1;
  private static final double MAX_SHED_SHARE = 0.95;
  // halved for ever, a tiny share still rejected requests with little hope
  private static final double MIN_SHED_SHARE = 0.01;

  private final PolicyState state;
  private double shedShare;
  private long hopelessSince;

  AdmissionControl(PolicyState state) {
    this.state = state;
  }

  /** The share of requests that is rejected as too many sent ones end late. */
  double shedShare() {
    return shedShare;
  }

  /** Draws whether a request without attempts is shed, the likelier the less its hope. */
  boolean sheds(OpenRequest request) {
    return request.attempts().isEmpty()
        && shedShare > 0
        && !state.isIdle()
        && state.random().draw() < Math.pow(shedShare, request.hope());
  }

  /**
   * Whether a heavy request can't be done in its client's time even by this backend alone. The
   * estimate may be wrong: after an objective's time of such rejections one is sent.
   */
  boolean isHopeless(OpenRequest request, BackendState backend) {
    long now = state.now();
    boolean hopeless =
        state.reportedLoad().isExpected()
            && backend != null
            && request.cost() > 2 * state.costs().meanCost()
            && request.cost() / state.throughput().paceOf(backend)
                > request.request().deadline() - now
            && (hopelessSince == 0 || now - hopelessSince < state.tightestObjective());
    if (hopeless && hopelessSince == 0) {
      hopelessSince = now;
    }
    return hopeless;
  }

  /**
   * Whether the wait at a backend is short enough for a request with so much time left. Incident:
   * backends were overdriven for 20 s, so no wait may stand; one mean request in work is none.
   */
  boolean admits(BackendState backend, long timeLeft) {
    long now = state.now();
    if (state.isIdle() && !state.reportedLoad().isFresh(backend, now)) {
      return true; // whatever is learnt, one request may find out
    }
    double meanTime = state.costs().meanCost() / state.throughput().paceOf(backend);
    double tolerated = Math.max(TOLERATED_WAIT * state.tightestObjective(), meanTime);
    double limit = timeLeft;
    if (backend.meanWait() > tolerated) {
      limit = Math.min(timeLeft, Math.max(TOLERATED_WAIT * timeLeft, meanTime));
    }
    return state.waits().waitAt(backend) <= limit;
  }

  /** An attempt was sent: no heavy request is rejected without a break any more. */
  void onSent() {
    hopelessSince = 0;
  }

  /** Adapts the shed share to the last second. */
  void foldSecond() {
    double excess = state.lateness().excessLateShare(TOLERATED_LATE_SHARE);
    shedShare += (Math.max(0, Math.min(MAX_SHED_SHARE, excess)) - shedShare) / 2;
    shedShare = shedShare < MIN_SHED_SHARE ? 0 : shedShare;
  }
}
