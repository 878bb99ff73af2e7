package wheattrack.api;

/**
 * One request as a client sent it. Times are in tenths of a millisecond. Not thread-safe: it
 * belongs to the thread that calls the policy.
 */
public final class PendingRequest {
  private final RequestClass requestClass;
  private final int costHint;
  private final boolean clientRetry;
  private final Object attachment;
  private long arrivedAt;
  private long deadline;

  /**
   * Creates a request.
   *
   * @param requestClass its class
   * @param arrivedAt when its last byte was received
   * @param deadline when its client stops waiting
   * @param costHint the cost that its client expects; 0 if it sent no hint
   * @param clientRetry whether its client marked it as a retry
   * @param attachment an object of the runtime, which the policy does not use
   */
  public PendingRequest(
      RequestClass requestClass,
      long arrivedAt,
      long deadline,
      int costHint,
      boolean clientRetry,
      Object attachment) {
    this.requestClass = requestClass;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
    this.costHint = costHint;
    this.clientRetry = clientRetry;
    this.attachment = attachment;
  }

  /** The class of the request. */
  public RequestClass requestClass() {
    return requestClass;
  }

  /** When its last byte was received. */
  public long arrivedAt() {
    return arrivedAt;
  }

  /** When its client stops waiting. */
  public long deadline() {
    return deadline;
  }

  /** The cost that its client expects, or 0 if it sent no hint. */
  public int costHint() {
    return costHint;
  }

  /** Whether its client marked it as a retry. */
  public boolean isClientRetry() {
    return clientRetry;
  }

  /** The object that the runtime attached. */
  public Object attachment() {
    return attachment;
  }

  /**
   * Sets a new time of arrival when the last byte of a long body has been received, and moves the
   * deadline by the same amount.
   *
   * @param now the new time of arrival
   * @param latestDeadline upper bound of the new deadline
   */
  public void restartClock(long now, long latestDeadline) {
    deadline = Math.min(deadline + now - arrivedAt, latestDeadline);
    arrivedAt = now;
  }
}
