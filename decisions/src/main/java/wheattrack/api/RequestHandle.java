package wheattrack.api;

/** An open request as the policy keeps it; the runtime reports here what happens to the request. */
public interface RequestHandle {
  /** The answer of this attempt has begun to stream, or the request can no longer be copied. */
  void streamingStarted(int attempt);

  /** The client has disconnected: nobody waits for an answer any more. */
  void clientDisconnected();
}
