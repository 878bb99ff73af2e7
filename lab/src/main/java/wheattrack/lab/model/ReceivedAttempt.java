package wheattrack.lab.model;

import wheattrack.api.AttemptOutcome;

/** An attempt that has arrived at a simulated backend, and the way to answer it. */
public interface ReceivedAttempt {
  /** The number of its request in the ledger. */
  long requestId();

  /** The index of the proxy that sent the attempt. */
  int proxy();

  /** Work, in tenths of a millisecond at speed 1. */
  double work();

  /** When the client stops waiting, in tenths of a millisecond from the start of the run. */
  long deadline();

  /** Sends the backend's answer, or signals that the backend failed; must be called once only. */
  void completed(AttemptOutcome outcome);

  /**
   * Sets the handler that runs when the proxy closes the connection of this attempt.
   *
   * @param handler the handler, or null for none
   */
  void onConnectionClosed(Runnable handler);

  /** Removes the handler of a closed connection, then completes the attempt. */
  default void reply(AttemptOutcome outcome) {
    onConnectionClosed(null);
    completed(outcome);
  }
}
