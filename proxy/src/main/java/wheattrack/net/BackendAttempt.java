package wheattrack.net;

import wheattrack.api.AttemptOutcome;
import wheattrack.core.TimerQueue;
import wheattrack.http.Request;
import wheattrack.http.Response;

/** One dispatch of a req, or a probe, from its sending to its one outcome. */
abstract class BackendAttempt {
  final BackendConnectionPool backend;
  final long sent;

  /** When it got its connection, which is when its first byte left. */
  long begun;

  /** When its first byte must have left, or it never does. */
  long latest = Long.MAX_VALUE;

  TimerQueue.Timer timeout;
  BackendConnection on;
  private boolean over;
  private AttemptOutcome outcome;

  BackendAttempt(BackendConnectionPool backend, long sent) {
    this.backend = backend;
    this.sent = sent;
  }

  /** From now on it may take so long. */
  final void waits(long time) {
    if (!over) {
      backend.loop.cancel(timeout);
      timeout = backend.loop.schedule(time, () -> giveUp(AttemptOutcome.TIMEOUT));
    }
  }

  /** Whether any of its bytes may have left. */
  final boolean isBegun() {
    return on != null;
  }

  /** Whether it may have run, or may yet. */
  final boolean mayRun() {
    return isBegun() && (outcome == null || !outcome.neverRan());
  }

  /** Ends one that is not begun as never sent, and any other as said. */
  final void giveUp(AttemptOutcome how) {
    end(isBegun() ? how : AttemptOutcome.DISCARDED, null);
  }

  /** Ends it, once; a connection that still carries it is closed. */
  final void end(AttemptOutcome how, Response answer) {
    if (over) {
      return;
    }
    over = true;
    outcome = how;
    backend.loop.cancel(timeout);
    backend.attemptEnded();
    if (on != null && on.currentAttempt() == this) {
      on.close();
    } else {
      backend.removeWaiting(this);
    }
    ended(how, answer);
  }

  /** What is written for it, made as it begins. */
  protected abstract Request request();

  /**
   * Its answer is too long to be kept: as an outcome that is its end, on its connection it is not.
   */
  final ResponseRelay begin(Response head) {
    if (over) {
      return null;
    }
    over = true;
    backend.loop.cancel(timeout);
    ResponseRelay passing = begins(head);
    if (passing == null) {
      backend.attemptEnded();
    }
    return passing;
  }

  /** The long answer is through, or broken off. */
  final void passed() {
    backend.attemptEnded();
  }

  /**
   * How long an answer of unknown length may still be kept back, to be had anew should it break.
   */
  protected long holds() {
    return Long.MAX_VALUE / 4;
  }

  /** What is still to come of what is written, or null. */
  protected RequestBodyRelay body() {
    return null;
  }

  /** Who takes the rest of a long answer, or null where nobody does. */
  protected ResponseRelay begins(Response head) {
    ended(AttemptOutcome.RESET, null);
    return null;
  }

  /** Its last byte is written. */
  protected void written() {
    // of a probe nothing is counted
  }

  protected abstract void ended(AttemptOutcome how, Response answer);
}
