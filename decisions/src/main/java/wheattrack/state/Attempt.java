package wheattrack.state;

import wheattrack.api.AttemptOutcome;
import wheattrack.api.RequestClass;

/** One attempt of a request, with the state of its backend when it was sent. Not thread-safe. */
public final class Attempt {
  private final int number;
  private final BackendState backend;
  private final int zone;
  private final int cell;
  private final long sentAt;
  private final boolean foundIdle;
  private final double costAhead;
  private boolean inFlight = true;
  private boolean mayHaveRun = true;
  private boolean cancelRequested;

  /**
   * Creates an attempt that is sent now.
   *
   * @param costAhead cost that the backend's fresh load report shows ahead of it; 0 without one
   */
  Attempt(int number, BackendState backend, long sentAt, double costAhead) {
    this.number = number;
    this.backend = backend;
    this.sentAt = sentAt;
    this.costAhead = costAhead;
    zone = backend.zone();
    cell = backend.cell();
    foundIdle = backend.inFlight() == 0;
  }

  /** Its number among the request's attempts, from 0. */
  public int number() {
    return number;
  }

  /** The backend that it was sent to. */
  public BackendState backend() {
    return backend;
  }

  /** When it was sent, in ticks. */
  public long sentAt() {
    return sentAt;
  }

  /** Whether this proxy had no other attempt in flight at the backend when it was sent. */
  public boolean foundIdle() {
    return foundIdle;
  }

  /** Cost ahead of it by the backend's load report; 0 if there was no fresh report. */
  public double costAhead() {
    return costAhead;
  }

  /** Whether this attempt may have run or may still run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Whether a further attempt at another backend now can have no second effect beside this one. */
  public boolean allowsRepeatAt(BackendState other, RequestClass requestClass, long now) {
    return !mayHaveRun
        || requestClass.isRepeatSafe(now - sentAt, zone == other.zone(), cell == other.cell());
  }

  /** Whether it is in flight and its cancellation was not requested. */
  public boolean isCancellable() {
    return inFlight && !cancelRequested;
  }

  /** Records that its cancellation was requested. */
  public void requestCancel() {
    cancelRequested = true;
  }

  /** Records its outcome. */
  void end(AttemptOutcome outcome) {
    inFlight = false;
    mayHaveRun = !outcome.neverRan();
  }
}
