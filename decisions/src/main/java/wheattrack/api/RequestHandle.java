package wheattrack.api;

/** The policy's handle of an open request, to which the runtime reports the request's events. */
public interface RequestHandle {
  /**
   * The answer of this attempt has begun to stream, or the request's body cannot be sent a second
   * time: no further attempt is possible.
   */
  void streamingStarted(int attempt);

  /** The client has disconnected: the request needs no answer any more. */
  void clientDisconnected();
}
