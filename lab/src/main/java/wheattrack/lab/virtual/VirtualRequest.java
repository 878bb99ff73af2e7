package wheattrack.lab.virtual;

import java.util.ArrayList;
import java.util.List;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.PendingRequest;
import wheattrack.api.RequestHandle;
import wheattrack.core.TimerQueue;
import wheattrack.lab.model.ClientRequest;

/** A request in flight at a proxy of the virtual run. */
final class VirtualRequest {
  /** A time later than any deadline. */
  private static final long NEVER = Long.MAX_VALUE / 2;

  private final ClientRequest clientRequest;
  private final List<VirtualAttempt> attempts = new ArrayList<>(2);
  private PendingRequest pending;
  private RequestHandle handle;
  private TimerQueue.Timer deadlineTimer;
  private boolean hasEnded;

  VirtualRequest(ClientRequest clientRequest) {
    this.clientRequest = clientRequest;
  }

  ClientRequest clientRequest() {
    return clientRequest;
  }

  /** The request as the policy sees it. */
  PendingRequest pending() {
    return pending;
  }

  void setPending(PendingRequest pending) {
    this.pending = pending;
  }

  /** The policy's handle of it. */
  RequestHandle handle() {
    return handle;
  }

  void setHandle(RequestHandle handle) {
    this.handle = handle;
  }

  TimerQueue.Timer deadlineTimer() {
    return deadlineTimer;
  }

  void setDeadlineTimer(TimerQueue.Timer timer) {
    deadlineTimer = timer;
  }

  /** Whether it has its final answer, its client has disconnected or its proxy was killed. */
  boolean hasEnded() {
    return hasEnded;
  }

  void end() {
    hasEnded = true;
  }

  /** Its attempts, in the order of their start. */
  List<VirtualAttempt> attempts() {
    return attempts;
  }

  /** Ends the attempts of which no byte has been sent. */
  void discardUnsentAttempts() {
    for (VirtualAttempt attempt : List.copyOf(attempts)) {
      if (!attempt.isSent()) {
        attempt.end(AttemptOutcome.DISCARDED);
      }
    }
  }

  /**
   * When the earliest of the sent attempts was created, or a time later than any deadline if none
   * has been sent.
   */
  long firstAttemptAt() {
    long first = NEVER;
    for (VirtualAttempt attempt : attempts) {
      if (attempt.isSent()) {
        first = Math.min(first, attempt.createdAt());
      }
    }
    return first;
  }
}
