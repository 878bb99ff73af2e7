package wheattrack.net.client;

/**
 * A long response that is sent to a client in parts. The client's connection calls it when it is
 * ready for the next part, and when it is closed before the last one has been written. All methods
 * are called on the event loop's thread.
 */
public interface StreamedResponse {
  /**
   * The connection has written all parts that it was given so far.
   *
   * @return whether the last part was among them; if not, the next part is sent in the same call or
   *     later
   */
  boolean onPartsWritten();

  /** The connection is closed: the client has disconnected, or has not read for too long. */
  void onClientClosed();
}
