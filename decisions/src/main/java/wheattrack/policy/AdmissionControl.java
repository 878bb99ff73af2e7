package wheattrack.policy;

import wheattrack.state.BackendState;
import wheattrack.state.OpenRequest;
import wheattrack.state.PolicyState;

/**
 * Rejects requests before they are sent: a share of all while too many end late, heavy ones that
 * cannot finish in time, and those for which every backend has too long a queue.
 */
final class AdmissionControl {
  /** Fraction of a time limit that the mean wait at a backend may reach before it is overloaded. */
  static final double TOLERATED_WAIT = 0.125;

  private static final double TOLERATED_LATE_SHARE = 0.1;
  private static final double MAX_SHED_SHARE = 0.95;
  // incident: a share that was only halved each second never ended, and still rejected requests
  private static final double MIN_SHED_SHARE = 0.01;
  private static final int HEAVY_COST_MULTIPLE = 2;

  private final PolicyState state;
  private double shedShare;
  private long hopelessSince;

  AdmissionControl(PolicyState state) {
    this.state = state;
  }

  /** The share of requests to be shed because too many of those sent end late. */
  double shedShare() {
    return shedShare;
  }

  /** Draws whether a new request is shed; less promising ones are shed more often. */
  boolean sheds(OpenRequest request) {
    return request.attempts().isEmpty()
        && shedShare > 0
        && !state.isIdle()
        && state.random().draw() < Math.pow(shedShare, request.hope());
  }

  /**
   * Whether a heavy request cannot finish before its deadline even on an idle backend. As this may
   * be wrong, one is sent after such rejections have lasted one objective.
   */
  boolean isHopeless(OpenRequest request, BackendState backend) {
    long now = state.now();
    boolean hopeless =
        state.reportedLoad().isExpected()
            && backend != null
            && request.cost() > HEAVY_COST_MULTIPLE * state.costs().meanCost()
            && request.missesDeadlineAt(backend)
            && (hopelessSince == 0 || now - hopelessSince < state.tightestObjective());
    if (hopeless && hopelessSince == 0) {
      hopelessSince = now;
    }
    return hopeless;
  }

  /**
   * Whether the wait at a backend is short enough for a request with this much time left. Incident:
   * standing queues overloaded backends for 20 s; the limit is tighter while the mean wait is high.
   */
  boolean admits(BackendState backend, long timeLeft) {
    long now = state.now();
    if (state.isIdle() && !state.reportedLoad().isFresh(backend, now)) {
      return true; // estimates may be wrong: a single request finds out
    }
    double meanTime = state.costs().meanCost() / state.throughput().paceOf(backend);
    double tolerated = Math.max(TOLERATED_WAIT * state.tightestObjective(), meanTime);
    double limit = timeLeft;
    if (backend.meanWait() > tolerated) {
      limit = Math.min(timeLeft, Math.max(TOLERATED_WAIT * timeLeft, meanTime));
    }
    return state.waits().waitAt(backend) <= limit;
  }

  /** An attempt was sent: the series of rejected heavy requests is over. */
  void onSent() {
    hopelessSince = 0;
  }

  /** Adapts the shed share to the late requests of the last second. */
  void foldSecond() {
    double excess = state.lateness().excessLateShare(TOLERATED_LATE_SHARE);
    shedShare += (Math.max(0, Math.min(MAX_SHED_SHARE, excess)) - shedShare) / 2;
    shedShare = shedShare < MIN_SHED_SHARE ? 0 : shedShare;
  }
}
