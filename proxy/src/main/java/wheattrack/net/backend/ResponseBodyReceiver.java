package wheattrack.net.backend;

import java.nio.ByteBuffer;

/**
 * Receives the part of a long response that follows its head and first bytes, one piece for each
 * call of {@link BackendConnection#deliverNextPart}. All methods are called on the event loop's
 * thread.
 */
public interface ResponseBodyReceiver {
  /**
   * A piece has come from the backend.
   *
   * @param bytes the piece; may be empty if it is the last one
   * @param isLast whether the response ends with it
   */
  void forward(ByteBuffer bytes, boolean isLast);

  /** The backend's connection is closed before the last piece was delivered. */
  void onBackendClosed();
}
