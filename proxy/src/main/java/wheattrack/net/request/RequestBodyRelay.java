package wheattrack.net.request;

import java.nio.ByteBuffer;
import wheattrack.net.backend.BackendConnection;
import wheattrack.net.backend.RequestBodySource;
import wheattrack.net.client.RequestBody;

/**
 * Forwards the part of a long request body that is not buffered. It is read from the client only as
 * fast as a backend accepts it. The target may change from one backend to another until the first
 * part has been forwarded; from then on no other attempt can send the complete body. Runs on the
 * event loop's thread only.
 */
final class RequestBodyRelay implements RequestBodySource {
  private final RequestBody body;
  private final Runnable onComplete;
  private BackendConnection target;
  private boolean hasStarted;
  private boolean isComplete;

  /**
   * Creates a relay that has no target yet.
   *
   * @param onComplete run when the last byte has been received from the client
   */
  RequestBodyRelay(RequestBody body, Runnable onComplete) {
    this.body = body;
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

  /**
   * The last time at which the body is known to have been incomplete, in tenths of a millisecond.
   * While its bytes are not read, its last byte may have arrived.
   */
  long incompleteAt() {
    return body.incompleteAt();
  }

  @Override
  public void requestNext(BackendConnection connection) {
    target = connection;
    body.requestPart(this::forward);
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
      body.cancelRequest();
    }
  }
}
