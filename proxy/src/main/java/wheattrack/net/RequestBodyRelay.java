package wheattrack.net;

import java.nio.ByteBuffer;

/**
 * The body of a long req beyond what is kept of it: read from its client only as fast as a backend
 * takes it. It may go to one backend after another until its first piece has gone; then never
 * again.
 */
final class RequestBodyRelay {
  private final ClientConnection client;
  private final Runnable whole;
  private BackendConnection to;
  private boolean begun, ended;

  /** whole: to be done when its last byte has come. */
  RequestBodyRelay(ClientConnection client, Runnable whole) {
    this.client = client;
    this.whole = whole;
  }

  /** Whether a further dispatch would bring all of it. */
  boolean isRepeatable() {
    return !begun;
  }

  boolean isWhole() {
    return ended;
  }

  /** This connection has written all that it had, and waits for more. */
  void pull(BackendConnection by) {
    to = by;
    client.requestBodyPart(this::piece);
  }

  private void piece(ByteBuffer bytes, boolean last) {
    begun = true;
    if (last) {
      ended = true;
      whole.run();
    }
    if (to != null) {
      to.sendBodyPart(bytes, last);
    }
  }

  /** This connection takes no more; what has come and was not asked for stays with the client. */
  void stop(BackendConnection by) {
    if (to == by) {
      to = null;
      client.cancelBodyRequest();
    }
  }
}
