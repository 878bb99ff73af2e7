package wheattrack.state;

import wheattrack.api.PolicyEvent;

/**
 * Counts the rejections of each second that happened while this proxy had no attempt in flight at
 * any backend, and reports a second with many of them. Not thread-safe.
 */
public final class IdleRejections {
  /** A second with no more rejections than this is not reported. */
  private static final int MAX_UNREPORTED = 4;

  /** A second is reported only if its rejections exceed its arrivals divided by this. */
  private static final int ARRIVALS_DIVISOR = 2;

  private final PolicyState state;
  private int count;
  private RejectionCause lastCause;

  IdleRejections(PolicyState state) {
    this.state = state;
  }

  /** Records that a request without attempts is rejected; it counts if nothing is in flight. */
  public void onRejected(RejectionCause cause) {
    if (state.inFlight().attempts() == 0) {
      count++;
      lastCause = cause;
    }
  }

  /**
   * Ends the present second: reports its rejections if they are more than half of the arrivals and
   * more than four.
   *
   * @param arrivals mean number of requests that arrive in a second
   */
  void endSecond(double arrivals) {
    if (count > Math.max(MAX_UNREPORTED, arrivals / ARRIVALS_DIVISOR)) {
      String detail = "in a second, while nothing was out; " + lastCause.logText();
      PolicyEvent.Kind kind = PolicyEvent.Kind.REJECTED_WHILE_IDLE;
      state.runtime().report(new PolicyEvent(kind, count, detail));
    }
    count = 0;
  }
}
