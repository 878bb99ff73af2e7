package wheattrack.net.request;

import java.nio.ByteBuffer;
import wheattrack.net.backend.BackendConnection;
import wheattrack.net.backend.RequestBodySource;
import wheattrack.net.client.ClientConnection;

/**
 * Forwards the part of a long request body that is not buffered. It is read from the client only as
 * fast as a backend accepts it. The target may change from one backend to another until the first
 * part has been forwarded; from then on no other attempt can send the complete body. Runs on the
 * event loop's thread only.
 */
final class RequestBodyRelay implements RequestBodySource {
  private final ClientConnection client;
  private final Runnable onComplete;
  private BackendConnection target;
  private boolean hasStarted;
  private boolean isComplete;

  /**
   * Creates a relay that has no target yet.
   *
   * @param onComplete run when the last byte has been received from the client
   */
  RequestBodyRelay(ClientConnection client, Runnable onComplete) {
    this.client = client;
    this.onComplete = onComplete;
  }

  /** Whether a further attempt could still send the complete body. */
  boolean isRepeatable() {
    return !hasStarted;
  }

  /** Whether the last byte has been received from the client. */
  boolean isComplete() {
    return isComplete;
  }

  @Override
  public void requestNext(BackendConnection connection) {
    target = connection;
    client.requestBodyPart(this::forward);
  }

  private void forward(ByteBuffer bytes, boolean isLast) {
    hasStarted = true;
    if (isLast) {
      isComplete = true;
      onComplete.run();
    }
    if (target != null) {
      target.sendBodyPart(bytes, isLast);
    }
  }

  /**
   * Bytes that were received from the client but not requested remain in its connection's buffer.
   */
  @Override
  public void detach(BackendConnection connection) {
    if (target == connection) {
      target = null;
      client.cancelBodyRequest();
    }
  }
}
