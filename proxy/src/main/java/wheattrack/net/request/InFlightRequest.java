package wheattrack.net.request;

import java.util.ArrayList;
import java.util.List;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.Idempotency;
import wheattrack.api.PendingRequest;
import wheattrack.api.RequestClass;
import wheattrack.api.RequestHandle;
import wheattrack.core.TimerQueue;
import wheattrack.net.backend.BackendAttempt;
import wheattrack.net.client.ClientConnection;
import wheattrack.net.protocol.ParsedRequest;

/**
 * The state of an accepted request: its client, its attempts and the policy's handle for it. Times
 * are tenths of a millisecond. Runs on the event loop's thread only.
 */
final class InFlightRequest {
  /**
   * The time of the first attempt while none has started: later than any real time, and small
   * enough that a deduplication window can be added to it without overflow.
   */
  private static final long NONE_STARTED = Long.MAX_VALUE / 2;

  private final ClientConnection client;
  private ParsedRequest parsed;
  private final List<BackendAttempt> attempts = new ArrayList<>(2);
  private int slot;
  private PendingRequest pending;
  private TimerQueue.Timer deadlineGuard;
  private RequestHandle handle;
  private RequestBodyRelay body;
  private boolean isSettled;

  /** Creates the state of a request that the policy does not know yet. */
  InFlightRequest(ClientConnection client, ParsedRequest parsed) {
    this.client = client;
    this.parsed = parsed;
  }

  /**
   * Completes the state before the request is passed to the policy.
   *
   * @param slotNumber its number in the table of open requests
   * @param pendingRequest the request as the policy sees it
   * @param bodyRelay relays the part of a long body that has not been received yet; null: none
   */
  void open(int slotNumber, PendingRequest pendingRequest, RequestBodyRelay bodyRelay) {
    slot = slotNumber;
    pending = pendingRequest;
    body = bodyRelay;
  }

  /** The client's connection on which it was received. */
  ClientConnection client() {
    return client;
  }

  /** The request as the client sent it; without its content once it is settled. */
  ParsedRequest parsed() {
    return parsed;
  }

  /** The client's identifier of the request. */
  String id() {
    return parsed.id();
  }

  /** Its number in the table of open requests. */
  int slot() {
    return slot;
  }

  /** The request as the policy sees it. */
  PendingRequest pending() {
    return pending;
  }

  /** The timer that ends the request if the policy has not done so by then; null: not set yet. */
  TimerQueue.Timer deadlineGuard() {
    return deadlineGuard;
  }

  void setDeadlineGuard(TimerQueue.Timer timer) {
    deadlineGuard = timer;
  }

  /**
   * The policy's handle, which is notified of events; null until the policy has accepted the
   * request.
   */
  RequestHandle handle() {
    return handle;
  }

  void setHandle(RequestHandle policyHandle) {
    handle = policyHandle;
  }

  /**
   * Relays the part of a long body that had not been received when the request was accepted; null:
   * none.
   */
  RequestBodyRelay body() {
    return body;
  }

  /**
   * Whether the policy has nothing left to decide: the request has its final answer, the streaming
   * of its response has begun, or its client has disconnected.
   */
  boolean isSettled() {
    return isSettled;
  }

  /** Notes that it is settled; the content of its message is not needed by further attempts. */
  void markSettled() {
    isSettled = true;
    parsed = parsed.withoutContent();
  }

  /** Adds an attempt that is sent now; attempts are numbered from 0 in this order. */
  void addAttempt(BackendAttempt attempt) {
    attempts.add(attempt);
  }

  /** The attempt of this number. */
  BackendAttempt attempt(int number) {
    return attempts.get(number);
  }

  /** The attempt sent last; null: there is none. */
  BackendAttempt latestAttempt() {
    return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
  }

  /** How many attempts have been sent. */
  int attemptCount() {
    return attempts.size();
  }

  /** Whether a further attempt could no longer send the complete body. */
  boolean isBodyConsumed() {
    return body != null && !body.isRepeatable();
  }

  /** Abandons all attempts; those not started yet count as discarded. */
  void abandonAttempts(AttemptOutcome outcomeIfStarted) {
    for (BackendAttempt attempt : attempts) {
      attempt.abandon(outcomeIfStarted);
    }
  }

  /** Discards the attempts that have not started yet. */
  void discardUnstartedAttempts() {
    for (BackendAttempt attempt : attempts) {
      if (!attempt.isStarted()) {
        attempt.abandon(AttemptOutcome.DISCARDED);
      }
    }
  }

  /** Discards all attempts, also those that have started. */
  void discardAttempts() {
    for (BackendAttempt attempt : attempts) {
      attempt.end(AttemptOutcome.DISCARDED, null);
    }
  }

  /** Whether a backend may have run it, or may still run it. */
  boolean mayHaveRun() {
    for (BackendAttempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        return true;
      }
    }
    return false;
  }

  /** The time from which on no new attempt may start. */
  long latestAttemptStart() {
    long endOfDeduplication = endOfDeduplication();
    return body == null ? Math.min(pending.deadline(), endOfDeduplication) : endOfDeduplication;
  }

  /**
   * Until when backends recognize the request's idempotency key. The policy observes this limit
   * when it sends an attempt, but the attempt may wait for a connection after that.
   */
  private long endOfDeduplication() {
    RequestClass requestClass = pending.requestClass();
    if (requestClass.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY) {
      return Long.MAX_VALUE;
    }
    long firstSent = NONE_STARTED;
    for (BackendAttempt attempt : attempts) {
      if (attempt.isStarted()) {
        firstSent = Math.min(firstSent, attempt.sentAt());
      }
    }
    return firstSent + requestClass.deduplicationWindow();
  }
}
