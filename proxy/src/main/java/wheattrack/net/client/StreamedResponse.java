package wheattrack.net.client;

/**
 * A long response that reaches a client's connection in parts. The connection calls it when it is
 * ready for the next part, and when it is closed before the last one has been written. All methods
 * are called on the event loop's thread.
 */
public interface StreamedResponse {
  /**
   * The connection has written all parts that it was given so far.
   *
   * @return whether these were the last ones; if not, the next part follows, in the same call or
   *     later
   */
  boolean onClientDrained();

  /** The connection is closed: the client has disconnected, or has not read for too long. */
  void onClientClosed();
}
