package wheattrack.lab.model;

import wheattrack.api.AttemptOutcome;

/** An attempt as the backend sees it that receives it. */
public interface BackendVisit {
  /** The number of the request in the ledger. */
  long requestId();

  /** The index of the proxy that sent it. */
  int proxy();

  /** Work, in tenths of a millisecond at speed 1. */
  double work();

  /** When the client stops waiting for it, in tenths of a millisecond of the run. */
  long deadline();

  /** The backend answers, or it breaks down and can't; called once. */
  void completed(AttemptOutcome outcome);

  /**
   * Sets what is to be called once the proxy closes the connection.
   *
   * @param handler the backend's reaction, or null once it has answered
   */
  void onConnectionClosed(Runnable handler);

  /** The backend answers or breaks down, and no longer reacts to the end of the connection. */
  default void reply(AttemptOutcome outcome) {
    onConnectionClosed(null);
    completed(outcome);
  }
}
