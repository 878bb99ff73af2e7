package wheattrack.api;

/** How an attempt ended, and whether that proves that the request did not run. */
public enum AttemptOutcome {
  /** Answered. */
  DONE(false),
  /** Answered with a server error. */
  ERROR(false),
  /** Rejected by the backend before it ran. */
  FULL(true),
  /** No answer in time. */
  TIMEOUT(false),
  /** No connection could be opened. */
  NO_CONNECT(true),
  /** The connection broke under the attempt. */
  RESET(false),
  /** Cancelled by the balancer. */
  CANCELLED(false),
  /** Did not run, for a reason that is unrelated to the backend. */
  DISCARDED(true);

  private final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }

  /** Whether the backend did not accept the attempt. */
  public boolean isRejection() {
    return this == FULL || this == NO_CONNECT;
  }

  /** Whether it is certain that the request did not run. */
  public boolean neverRan() {
    return neverRan;
  }
}
