package wheattrack.api;

/** The policy's handle of an open request, to which the runtime reports the request's events. */
public interface RequestHandle {
  /**
   * Called when no further attempt is possible: the answer of this attempt has begun to stream, or
   * the request's body cannot be sent a second time.
   */
  void streamingStarted(int attempt);

  /** Called when the client has disconnected: the request needs no answer any more. */
  void clientDisconnected();
}
