package wheattrack.net.request;

import java.nio.ByteBuffer;
import wheattrack.http.BodyFraming;
import wheattrack.http.Encoder;
import wheattrack.net.backend.BackendConnection;
import wheattrack.net.backend.ResponseBodyReceiver;
import wheattrack.net.client.ClientConnection;
import wheattrack.net.client.StreamedResponse;

/**
 * Forwards a long response from a backend to a client, one part at a time. It ends exactly once,
 * whether the response was forwarded completely or not. Runs on the event loop's thread only.
 */
final class ResponseRelay implements StreamedResponse, ResponseBodyReceiver {
  /** Notified once, when a relay ends. */
  @FunctionalInterface
  interface EndListener {
    /**
     * The relay has ended.
     *
     * @param complete whether the complete response was written to the client
     */
    void onEnd(boolean complete);
  }

  private final BackendConnection source;
  private final ClientConnection client;
  private final boolean isChunked;
  private final EndListener listener;
  private boolean lastPartForwarded;
  private boolean hasEnded;

  /**
   * Creates a relay between two connections.
   *
   * @param remainingBody the framing of the rest for the client, as in the response's head
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

  /** Requests the next part from the backend, unless the last one has been sent. */
  @Override
  public boolean onPartsWritten() {
    if (lastPartForwarded) {
      end(true);
    } else {
      source.deliverNextPart();
    }
    return lastPartForwarded;
  }

  /** Forwards a part to the client; the next is requested once this one has been sent. */
  @Override
  public void forward(ByteBuffer bytes, boolean isLast) {
    if (!hasEnded) {
      lastPartForwarded = isLast;
      client.sendResponsePart(isChunked ? Encoder.chunk(bytes, isLast) : bytes);
    }
  }

  /** Closes the client's connection, which shows the client that the response is incomplete. */
  @Override
  public void onBackendClosed() {
    if (!hasEnded && !lastPartForwarded) {
      end(false);
      client.close();
    }
  }

  /** The client has disconnected, or has not read for too long. */
  @Override
  public void onClientClosed() {
    if (!hasEnded) {
      end(false);
      if (!lastPartForwarded) { // after the last part, source may already carry another attempt
        source.close();
      }
    }
  }

  private void end(boolean complete) {
    hasEnded = true;
    listener.onEnd(complete);
  }
}
