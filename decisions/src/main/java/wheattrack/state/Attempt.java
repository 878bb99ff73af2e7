package wheattrack.state;

import wheattrack.api.AttemptOutcome;
import wheattrack.api.RequestClass;

/** One attempt of a request, with what it found at its backend when it was sent. */
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

  /** Creates the attempt of this number, sent now; costAhead is what waited there by its report. */
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

  /** Where it was sent. */
  public BackendState backend() {
    return backend;
  }

  /** When it was sent. */
  public long sentAt() {
    return sentAt;
  }

  /** Whether nothing of this proxy's was in flight at its backend when it was sent. */
  public boolean foundIdle() {
    return foundIdle;
  }

  /** Cost that waited before it, by the backend's last report; 0 if there was none. */
  public double costAhead() {
    return costAhead;
  }

  /** Whether the request may have run, or may yet run, by this attempt. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Whether the request may be sent to a backend now with no second effect, for this attempt. */
  public boolean allowsRepeatAt(BackendState other, RequestClass requestClass, long now) {
    return !mayHaveRun
        || requestClass.isRepeatSafe(now - sentAt, zone == other.zone(), cell == other.cell());
  }

  /** Whether it is in flight and not being cancelled. */
  public boolean isCancellable() {
    return inFlight && !cancelRequested;
  }

  /** It is being cancelled. */
  public void requestCancel() {
    cancelRequested = true;
  }

  /** Its outcome is known. */
  void end(AttemptOutcome outcome) {
    inFlight = false;
    mayHaveRun = !outcome.neverRan();
  }
}
