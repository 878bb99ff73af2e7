package wheattrack.net.backend;

/**
 * Provides the rest of a long request body, which is not in the message already written, one part
 * for each call. All methods are called on the event loop's thread.
 */
public interface RequestBodySource {
  /**
   * The connection has written all that it was given and is ready for the next part, which reaches
   * it by {@link BackendConnection#sendBodyPart}, in the same call or later.
   */
  void requestNext(BackendConnection connection);

  /** The connection takes no further parts; does nothing if another one has asked since. */
  void detach(BackendConnection connection);
}
