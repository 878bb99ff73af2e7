package wheattrack.api;

/** How an attempt ended, and whether that outcome proves that the request did not run. */
public enum AttemptOutcome {
  /** The backend answered, other than with a server error. */
  DONE(false),
  /** The backend answered with a server error. */
  ERROR(false),
  /** The backend rejected the attempt before it ran. */
  FULL(true),
  /** No answer came within the attempt's timeout. */
  TIMEOUT(false),
  /** No connection could be opened. */
  NO_CONNECT(true),
  /** The connection broke while the attempt was in flight. */
  RESET(false),
  /** Cancelled by the balancer. */
  CANCELLED(false),
  /** The attempt did not run, for a reason that is unrelated to the backend. */
  DISCARDED(true);

  private final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }

  /** Whether the backend rejected the attempt, or no connection to it could be opened. */
  public boolean isRejection() {
    return this == FULL || this == NO_CONNECT;
  }

  /** Whether it is certain that the request did not run. */
  public boolean neverRan() {
    return neverRan;
  }
}
