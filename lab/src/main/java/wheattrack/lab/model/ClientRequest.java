package wheattrack.lab.model;

import wheattrack.lab.load.RequestPlan;

/**
 * One request of a client to a proxy; an operation may take several of them.
 *
 * @param requestId the number of the request in the ledger
 * @param plan the request class, work and cost hint
 * @param deadline when the client stops waiting, in tenths of a millisecond from the start of the
 *     run
 * @param isRetry whether it is a retry
 * @param operation the operation that the request belongs to
 * @param proxy the index of the proxy to which it was sent
 */
public record ClientRequest(
    long requestId,
    RequestPlan plan,
    long deadline,
    boolean isRetry,
    ClientOperation operation,
    int proxy) {
  /** Whether the client still waits for the answer. */
  public boolean isOpen() {
    return operation.isWaitingFor(this);
  }
}
