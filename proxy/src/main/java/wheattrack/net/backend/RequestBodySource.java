package wheattrack.net.backend;

/**
 * Provides the rest of a long request body, after the part that was sent with the head, one part
 * for each call. All methods are called on the event loop's thread.
 */
public interface RequestBodySource {
  /**
   * Requests the next part for a connection that has written all parts so far. The part is passed
   * to {@link BackendConnection#sendBodyPart}, in the same call or later.
   */
  void requestNext(BackendConnection connection);

  /**
   * Stops sending parts to this connection; does nothing if another one has requested a part since.
   */
  void detach(BackendConnection connection);
}
