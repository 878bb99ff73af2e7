package wheattrack.lab.model;

import wheattrack.lab.load.RequestPlan;

/**
 * One request of a client to a proxy; an operation may take several of them.
 *
 * @param requestId its number in the ledger
 * @param plan what the client wants
 * @param deadline when the client stops waiting, in tenths of a millisecond of the run
 * @param isRetry whether it is a retry
 * @param operation the operation that it is for
 * @param proxy the index of the proxy to which it was sent
 */
public record ClientRequest(
    long requestId,
    RequestPlan plan,
    long deadline,
    boolean isRetry,
    ClientOperation operation,
    int proxy) {
  /** Whether its client still waits for it. */
  public boolean isOpen() {
    return operation.isWaitingFor(this);
  }
}
