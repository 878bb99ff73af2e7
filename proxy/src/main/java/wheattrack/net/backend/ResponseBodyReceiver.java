package wheattrack.net.backend;

import java.nio.ByteBuffer;

/**
 * Receives the rest of a long response, after its head and first bytes, one part for each call of
 * {@link BackendConnection#deliverNextPart}. All methods are called on the event loop's thread.
 */
public interface ResponseBodyReceiver {
  /**
   * A part has been received from the backend.
   *
   * @param bytes the part; may be empty if it is the last one
   * @param isLast whether the response ends with it
   */
  void forward(ByteBuffer bytes, boolean isLast);

  /** The backend's connection is closed before the last part was delivered. */
  void onBackendClosed();
}
