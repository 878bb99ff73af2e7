package wheattrack.net;

import wheattrack.api.AttemptOutcome;
import wheattrack.core.TimerQueue;
import wheattrack.http.Request;
import wheattrack.http.Response;

/** One dispatch of a req, or a probe, from its sending to its one outcome. */
abstract class BackendAttempt {
  final BackendConnectionPool backend;
  final long sentAt;

  /** When it got its connection, which is when its first byte left. */
  long startedAt;

  /** When its first byte must have left, or it never does. */
  long latestStart = Long.MAX_VALUE;

  TimerQueue.Timer timer;
  BackendConnection connection;
  private boolean hasEnded;
  private AttemptOutcome outcome;

  BackendAttempt(BackendConnectionPool backend, long sent) {
    this.backend = backend;
    this.sentAt = sent;
  }

  /** From now on it may take so long. */
  final void setTimeout(long time) {
    if (!hasEnded) {
      backend.loop.cancel(timer);
      timer = backend.loop.schedule(time, () -> abandon(AttemptOutcome.TIMEOUT));
    }
  }

  /** Whether any of its bytes may have left. */
  final boolean isStarted() {
    return connection != null;
  }

  /** Whether it may have run, or may yet. */
  final boolean mayHaveRun() {
    return isStarted() && (outcome == null || !outcome.neverRan());
  }

  /** Ends one that is not begun as never sent, and any other as said. */
  final void abandon(AttemptOutcome how) {
    end(isStarted() ? how : AttemptOutcome.DISCARDED, null);
  }

  /** Ends it, once; a connection that still carries it is closed. */
  final void end(AttemptOutcome how, Response answer) {
    if (hasEnded) {
      return;
    }
    hasEnded = true;
    outcome = how;
    backend.loop.cancel(timer);
    backend.out--;
    if (connection != null && connection.carried() == this) {
      connection.close();
    } else {
      backend.forget(this);
    }
    onEnd(how, answer);
  }

  /** What is written for it, made as it begins. */
  protected abstract Request request();

  /**
   * Its answer is too long to be kept: as an outcome that is its end, on its connection it is not.
   */
  final ResponseRelay beginStreaming(Response head) {
    if (hasEnded) {
      return null;
    }
    hasEnded = true;
    backend.loop.cancel(timer);
    ResponseRelay passing = onStreamingAnswer(head);
    if (passing == null) {
      backend.out--;
    }
    return passing;
  }

  /** The long answer is through, or broken off. */
  final void streamingEnded() {
    backend.out--;
  }

  /**
   * How long an answer of unknown length may still be kept back, to be had anew should it break.
   */
  protected long remainingBufferingTime() {
    return Long.MAX_VALUE / 4;
  }

  /** What is still to come of what is written, or null. */
  protected RequestBodyRelay body() {
    return null;
  }

  /** Who takes the rest of a long answer, or null where nobody does. */
  protected ResponseRelay onStreamingAnswer(Response head) {
    onEnd(AttemptOutcome.RESET, null);
    return null;
  }

  /** Its last byte is written. */
  protected void onRequestWritten() {
    // of a probe nothing is counted
  }

  protected abstract void onEnd(AttemptOutcome how, Response answer);
}
