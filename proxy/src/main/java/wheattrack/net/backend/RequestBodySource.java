package wheattrack.net.backend;

/**
 * Provides the part of a long request body that is not in the message already written, one piece
 * for each call. All methods are called on the event loop's thread.
 */
public interface RequestBodySource {
  /**
   * The connection has written all that it was given and is ready for the next piece, which reaches
   * it by {@link BackendConnection#sendBodyPart}, in the same call or later.
   */
  void requestNext(BackendConnection connection);

  /** The connection takes no further pieces; does nothing if another one has asked since. */
  void detach(BackendConnection connection);
}
