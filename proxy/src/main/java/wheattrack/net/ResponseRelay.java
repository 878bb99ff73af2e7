package wheattrack.net;

import java.nio.ByteBuffer;
import wheattrack.http.BodyFraming;
import wheattrack.http.Encoder;

/**
 * Passes a long answer on from a backend to a client, one piece at a time. It ends once, whether
 * the answer was passed on completely or not. Runs on the event loop's thread only.
 */
final class ResponseRelay {
  /** Told once how a relay ended. */
  @FunctionalInterface
  interface EndListener {
    /**
     * The relay has ended.
     *
     * @param complete whether the client has received the complete answer
     */
    void onEnd(boolean complete);
  }

  private final BackendConnection source;
  private final ClientConnection client;
  private final boolean isChunked;
  private final EndListener listener;
  private boolean lastPieceForwarded;
  private boolean hasEnded;

  /**
   * Creates a relay between two connections.
   *
   * @param remainingBody the framing of the rest for the client, as in the answer's head
   */
  ResponseRelay(
      BackendConnection source,
      ClientConnection client,
      BodyFraming remainingBody,
      EndListener listener) {
    this.source = source;
    this.client = client;
    isChunked = remainingBody.isChunked();
    this.listener = listener;
  }

  /**
   * The client's connection has sent all bytes so far; asks the backend for more.
   *
   * @return whether these were the last ones
   */
  boolean onClientDrained() {
    if (lastPieceForwarded) {
      end(true);
    } else {
      source.relayNextPart();
    }
    return lastPieceForwarded;
  }

  /** Forwards a piece to the client; the next is asked for once this one has been sent. */
  void forward(ByteBuffer bytes, boolean isLast) {
    if (!hasEnded) {
      lastPieceForwarded = isLast;
      client.sendResponsePart(isChunked ? Encoder.chunk(bytes, isLast) : bytes);
    }
  }

  /** The backend's connection is closed: the client must see that its answer is incomplete. */
  void onBackendClosed() {
    if (!hasEnded && !lastPieceForwarded) {
      end(false);
      client.close();
    }
  }

  /** The client has disconnected, or has not read for too long. */
  void onClientClosed() {
    if (!hasEnded) {
      end(false);
      if (!lastPieceForwarded) { // else the connection may carry another attempt by now
        source.close();
      }
    }
  }

  private void end(boolean complete) {
    hasEnded = true;
    listener.onEnd(complete);
  }
}
