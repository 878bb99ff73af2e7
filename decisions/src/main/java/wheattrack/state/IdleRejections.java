package wheattrack.state;

import wheattrack.api.PolicyEvent;

/** Rejections while no attempt was in flight anywhere: many in a second are reported. */
public final class IdleRejections {
  private static final int MIN_REPORTED = 4;

  private final PolicyState state;
  private int count;
  private String lastCause = "";

  IdleRejections(PolicyState state) {
    this.state = state;
  }

  /** A request without attempts is rejected; it counts if nothing is in flight. */
  public void onRejected(String cause) {
    if (state.inFlight().attempts() == 0) {
      count++;
      lastCause = cause;
    }
  }

  /** Reports the last second's, if they were over half of what arrives in a second. */
  void foldSecond(double arrivals) {
    if (count > Math.max(MIN_REPORTED, arrivals / 2)) {
      String detail = "in a second, while nothing was out; " + lastCause;
      PolicyEvent.Kind kind = PolicyEvent.Kind.REJECTED_WHILE_IDLE;
      state.runtime().report(new PolicyEvent(kind, count, detail));
    }
    count = 0;
  }
}
