package wheattrack.lab.model;

import wheattrack.api.RequestClass;
import wheattrack.lab.load.RequestPlan;

/** One operation of a client: its first request and all retries of it. */
public final class ClientOperation {
  private final long id;
  private final long startedAt;
  private final RequestPlan plan;
  private final int zone;
  private int attempts;
  private boolean hasEnded;
  private boolean isDisconnected;
  private ClientRequest pendingRequest;

  ClientOperation(long id, long startedAt, RequestPlan plan, int zone) {
    this.id = id;
    this.startedAt = startedAt;
    this.plan = plan;
    this.zone = zone;
  }

  /** The number of this operation in the ledger. */
  public long id() {
    return id;
  }

  long startedAt() {
    return startedAt;
  }

  RequestPlan plan() {
    return plan;
  }

  RequestClass requestClass() {
    return plan.workload().requestClass();
  }

  int zone() {
    return zone;
  }

  /** The number of requests made so far, including those for which no proxy was available. */
  int attempts() {
    return attempts;
  }

  void countAttempt() {
    attempts++;
  }

  /** Whether it has succeeded or its client has disconnected. */
  boolean hasEnded() {
    return hasEnded;
  }

  void succeed() {
    hasEnded = true;
  }

  /** Whether its client has disconnected. */
  boolean isDisconnected() {
    return isDisconnected;
  }

  void disconnect() {
    hasEnded = true;
    isDisconnected = true;
    pendingRequest = null;
  }

  @SuppressWarnings("ReferenceEquality") // each request is an object of its own
  boolean isWaitingFor(ClientRequest request) {
    return pendingRequest == request;
  }

  void waitFor(ClientRequest request) {
    pendingRequest = request;
  }

  void stopWaiting() {
    pendingRequest = null;
  }
}
