package wheattrack.lab.model;

import wheattrack.api.RequestClass;
import wheattrack.lab.load.RequestPlan;

/** What a client wants, over the first request for it and all retries. */
public final class ClientOperation {
  private final long id;
  private final long startedAt;
  private final RequestPlan plan;
  private final int zone;
  private int attempts;
  private boolean ended;
  private boolean disconnected;
  private ClientRequest pending;

  ClientOperation(long id, long startedAt, RequestPlan plan, int zone) {
    this.id = id;
    this.startedAt = startedAt;
    this.plan = plan;
    this.zone = zone;
  }

  /** Its number in the ledger. */
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

  /** How many requests have been tried for it, including those that found no proxy. */
  int attempts() {
    return attempts;
  }

  void countAttempt() {
    attempts++;
  }

  /** Whether it has succeeded or its client has gone. */
  boolean hasEnded() {
    return ended;
  }

  void succeed() {
    ended = true;
  }

  /** Whether its client has disconnected. */
  boolean isDisconnected() {
    return disconnected;
  }

  void disconnect() {
    ended = true;
    disconnected = true;
    pending = null;
  }

  @SuppressWarnings("ReferenceEquality") // each request is an object of its own
  boolean isWaitingFor(ClientRequest request) {
    return pending == request;
  }

  void waitFor(ClientRequest request) {
    pending = request;
  }

  void stopWaiting() {
    pending = null;
  }
}
