package wheattrack.net.client;

import java.nio.ByteBuffer;
import wheattrack.aio.EventLoop;
import wheattrack.http.RequestDecoder;

/**
 * Reads from a client: the bytes of its requests, and a limited number of bytes ahead of what is
 * requested of a long body. Without reading ahead, the disconnect of a client that has sent bytes
 * after its request would not be detected while the request is open. Bytes read ahead are counted
 * in the listener's budget. Runs on the event loop's thread only.
 */
final class RequestBodyReader {
  /**
   * The most bytes that are read ahead while a request is open, but for {@link
   * #MAX_BODY_READ_AHEAD}.
   */
  private static final int MAX_READ_AHEAD = 32 * 1024;

  /** The most bytes that are read ahead of a long body until its first part is requested. */
  private static final int MAX_BODY_READ_AHEAD = 1 << 20;

  /** The most bytes of one read ahead, unless the request's body is long. */
  private static final int READ_SIZE = 4 * 1024;

  /** The most bytes of one read ahead of a long body. */
  private static final int BODY_READ_SIZE = 16 * 1024;

  private final ClientConnection connection;
  private final ReadAheadBudget readAheadBudget;
  private final EventLoop loop;
  private final RequestDecoder decoder;
  private final ConnectionTimeouts timeouts;
  private final BodyArrivalChecker arrivalChecker;

  /** The body of the current request; null: it has none, or none that is received on its own. */
  private RequestBody body;

  /**
   * The buffer that is being read ahead into; it is separate from the decoder's buffer, which may
   * be decoded during the read. Null: no read ahead is pending.
   */
  private ByteBuffer readAheadBuffer;

  /** Bytes that are counted in the budget as read ahead. */
  private int countedBytes;

  /** Whether bytes were dropped as too many had been read ahead. */
  private boolean hasDroppedBytes;

  RequestBodyReader(
      ClientConnection connection,
      ReadAheadBudget readAheadBudget,
      BodyArrivalChecker arrivalChecker,
      EventLoop loop,
      RequestDecoder decoder,
      ConnectionTimeouts timeouts) {
    this.connection = connection;
    this.readAheadBudget = readAheadBudget;
    this.loop = loop;
    this.decoder = decoder;
    this.timeouts = timeouts;
    this.arrivalChecker = arrivalChecker;
  }

  /** Handles a completed read: counts its bytes, and passes those read ahead to the decoder. */
  void onRead(int count) {
    if (body != null) {
      body.onRead(count);
    }
    if (readAheadBuffer != null) {
      appendReadAhead();
    }
  }

  private void appendReadAhead() {
    ByteBuffer bytes = readAheadBuffer.flip();
    readAheadBuffer = null;
    if (connection.hasDisconnectCallback()
        && !decoder.isStreamingBody()
        && decoder.bufferedBytes() + bytes.remaining() > MAX_READ_AHEAD) {
      dropReadAhead();
    }
    if (!connection.isLingering() && !hasDroppedBytes) {
      decoder.append(bytes);
      updateCount();
    }
  }

  /**
   * Whether there are bytes beyond the open request that can be dropped, at the price that the
   * connection is closed after its response.
   */
  boolean hasDroppableBytes() {
    return decoder.bufferedBytes() > 0 && !decoder.isStreamingBody() && isDecoderAvailable();
  }

  /** Drops the bytes beyond the open request, and all that follow. */
  void dropReadAhead() {
    hasDroppedBytes = true;
    decoder.discardReceivedBytes();
    updateCount();
  }

  /** The memory held here, in bytes. */
  long heldBytes() {
    long readAhead = readAheadBuffer == null ? 0 : readAheadBuffer.capacity();
    return readAhead + (body == null ? 0 : body.heldBytes());
  }

  /** Updates the number of bytes that are counted in the budget as read ahead. */
  void updateCount() {
    readAheadBudget.add(decoder.bufferedBytes() - countedBytes);
    countedBytes = decoder.bufferedBytes();
  }

  /**
   * Starts the next read, for further bytes or the client's disconnect. While the decoder holds
   * bytes that are not requested yet, further bytes are read ahead into a buffer of their own.
   */
  void readMore() {
    if (connection.isClosed() || connection.isReading()) {
      return;
    }
    if (!hasUnrequestedBytes()) {
      connection.read(decoder.writableBuffer());
    } else if (mayReadAhead()) {
      readAheadBuffer = ByteBuffer.allocate(decoder.isStreamingBody() ? BODY_READ_SIZE : READ_SIZE);
      connection.read(readAheadBuffer);
    }
  }

  private boolean hasUnrequestedBytes() {
    return connection.hasOpenRequest()
        && !isPartRequested()
        && (decoder.bufferedBytes() > 0 || decoder.isStreamingBody());
  }

  private boolean isPartRequested() {
    return body != null && body.isPartRequested();
  }

  private boolean mayReadAhead() {
    if (decoder.isStreamingBody() && readAheadBudget.isMemoryExceeded()) {
      return false;
    }
    if (decoder.bufferedBytes() < MAX_READ_AHEAD) {
      return true;
    }
    if (!connection.hasDisconnectCallback()) {
      return false;
    }
    if (!decoder.isStreamingBody()) {
      return true; // bytes above the limit are dropped
    }
    return body != null
        && !body.isRequested()
        && decoder.bufferedBytes() < MAX_BODY_READ_AHEAD
        && readAheadBudget.isAvailable();
  }

  /** Whether the decoder's bytes may be decoded, that is, no pending read writes to its buffer. */
  boolean isDecoderAvailable() {
    return !connection.isReading() || readAheadBuffer != null;
  }

  /** Whether the rest of the client's bytes cannot be decoded any more. */
  boolean hasUnreadableBytes() {
    return decoder.isStreamingBody() || hasDroppedBytes;
  }

  /** Whether the next part of a long body is requested and has not been received yet. */
  boolean isPartAwaited() {
    return body != null && body.isPartAwaited();
  }

  /** Decodes the next part of the long body and delivers it; valid while one is awaited. */
  void deliverPart() {
    body.deliverPart();
  }

  /** The head of a request has been received, but less of its body than the decoder needs. */
  void awaitRestOfRequest() {
    if (body == null) {
      body = newBody();
    }
    body.awaitStart();
  }

  /** A request has been received, complete or with its body's first bytes. */
  void onRequest() {
    if (!decoder.isStreamingBody()) {
      body = null;
      return;
    }
    if (body == null) {
      body = newBody();
    }
    body.open(arrivalChecker);
  }

  private RequestBody newBody() {
    return new RequestBody(connection, this, loop, decoder, timeouts);
  }

  /** The rest of the open request's long body; null: the request was received complete. */
  RequestBody body() {
    return body;
  }

  /** The current request has its response: the rest of its body is of no use any more. */
  void endBody() {
    if (body != null) {
      body.end();
      body = null;
    }
  }

  /**
   * The connection is closed: nothing more is delivered, and its bytes are released to the budget.
   */
  void close() {
    endBody();
    readAheadBudget.add(-countedBytes);
    readAheadBuffer = null;
    decoder.close();
  }
}
