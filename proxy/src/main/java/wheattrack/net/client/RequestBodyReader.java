package wheattrack.net.client;

import java.nio.ByteBuffer;
import wheattrack.aio.EventLoop;
import wheattrack.core.MinimumTransferRate;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.RequestDecoder;

/**
 * Reads from a client: the rest of a long body, one part for each call of {@link #requestPart}, and
 * a limited number of bytes ahead of that. Without reading ahead, the disconnect of a client that
 * has sent bytes after its request would not be detected while the request is open. Bytes read
 * ahead are counted in the listener's budget. Runs on the event loop's thread only.
 */
final class RequestBodyReader {
  /**
   * The most bytes that are read ahead while a request is open, but for {@link
   * #MAX_BODY_READ_AHEAD}.
   */
  private static final int MAX_READ_AHEAD = 32 * 1024;

  /** The most bytes that are read ahead of a long body until its first part is requested. */
  private static final int MAX_BODY_READ_AHEAD = 1 << 20;

  /**
   * The longest time from the end of a head until enough of the body is received for the request to
   * be handled, in tenths of a millisecond. The slowest client that is to be served needs 1.1 s,
   * and one that stops must get its response within 3 s of connecting.
   */
  private static final long BODY_START_TIMEOUT = 25_000;

  /** The most bytes of one read ahead, unless the request's body is long. */
  private static final int READ_SIZE = 4 * 1024;

  /** The most bytes of one read ahead of a long body. */
  private static final int BODY_READ_SIZE = 16 * 1024;

  private final ClientConnection connection;
  private final ReadAheadBudget readAheadBudget;
  private final EventLoop loop;
  private final RequestDecoder decoder;
  private final ConnectionTimeouts timeouts;
  private final MinimumTransferRate transferRate = new MinimumTransferRate();
  private final BodyArrival arrival;

  /** Whether the body of a request is being received, for which the minimum rate holds. */
  private boolean isInBody;

  /** When the head of the current request was received; tenths of a millisecond. */
  private long bodySince;

  /** Whether a part of the current long body has been requested yet. */
  private boolean isBodyRequested;

  /** Receives the next part; null: no part is requested. */
  private BodyPartConsumer consumer;

  /**
   * The last part of a long body, held back until all other pending events are handled, as the
   * client's disconnect may be among them; or null.
   */
  private ByteBuffer lastPart;

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
    arrival = new BodyArrival(connection, loop, decoder, arrivalChecker);
  }

  /** Handles a completed read: counts its bytes, and passes those read ahead to the decoder. */
  void onRead(int count) {
    arrival.onReadCompleted();
    if (isInBody) {
      transferRate.received(loop.now(), count);
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
    return readAhead + (lastPart == null ? 0 : lastPart.capacity());
  }

  private void updateCount() {
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
        && consumer == null
        && (decoder.bufferedBytes() > 0 || decoder.isStreamingBody());
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
    return !isBodyRequested
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
    return consumer != null && lastPart == null;
  }

  /**
   * The last time at which the long body of the open request is known to have been incomplete, in
   * tenths of a millisecond: its last byte has arrived at this machine no earlier than that.
   */
  long bodyIncompleteAt() {
    return arrival.incompleteAt();
  }

  /** A request has been received, complete or with its body's first bytes. */
  void onRequest() {
    if (decoder.isStreamingBody()) {
      arrival.start();
    }
    if (decoder.isStreamingBody() && !isInBody) {
      transferRate.start(loop.now());
    }
    isInBody = decoder.isStreamingBody();
    isBodyRequested = false;
    transferRate.pause(loop.now());
  }

  /** The head of a request has been received, but less of its body than the decoder needs. */
  void awaitRestOfRequest() {
    if (!isInBody) {
      isInBody = true;
      bodySince = loop.now();
      transferRate.start(loop.now());
    }
    long timeLeft = bodySince + BODY_START_TIMEOUT - loop.now();
    timeouts.awaitBody(Math.min(timeLeft, transferRate.remaining(loop.now())));
  }

  /** The complete response is written, and the connection stays open for another request. */
  void onResponseComplete() {
    isInBody = false;
  }

  /** Requests the next part of the long body. */
  void requestPart(BodyPartConsumer next) {
    consumer = next;
    isBodyRequested = true;
    transferRate.resume(loop.now());
    timeouts.awaitBody(transferRate.remaining(loop.now()));
    if (lastPart != null) {
      loop.execute(this::deliverLastPart);
    } else if (isDecoderAvailable()) { // else the part is delivered when the pending read completes
      deliverPart();
      readMore();
    }
  }

  /** Cancels the request for a part; bytes already received stay buffered for the next request. */
  void cancelRequest() {
    consumer = null;
    if (decoder.isStreamingBody() && !connection.isStreamingResponse()) {
      transferRate.pause(loop.now());
      timeouts.cancel();
    }
  }

  /** Decodes the next part and delivers it, if there is one. */
  void deliverPart() {
    try {
      ByteBuffer part = decoder.nextBodyPart();
      updateCount();
      isInBody = decoder.isStreamingBody();
      if (isInBody) {
        arrival.onDecoded();
      } else {
        arrival.stop();
        lastPart = part;
        readMore();
        loop.execute(this::deliverLastPart);
        return;
      }
      if (part.hasRemaining()) {
        deliver(part, false);
      } else {
        timeouts.awaitBody(transferRate.remaining(loop.now()));
      }
    } catch (MalformedMessageException e) {
      consumer = null;
      connection.rejectMalformed(e.status(), e.getMessage());
    }
  }

  private void deliverLastPart() {
    if (lastPart != null && consumer != null) { // else it is delivered already or not requested
      ByteBuffer part = lastPart;
      lastPart = null;
      deliver(part, true);
    }
  }

  private void deliver(ByteBuffer part, boolean isLast) {
    BodyPartConsumer receiver = consumer;
    consumer = null;
    transferRate.pause(loop.now());
    timeouts.cancel();
    receiver.accept(part, isLast);
  }

  /**
   * The connection is closed: nothing more is delivered, and its bytes are released to the budget.
   */
  void close() {
    arrival.stop();
    readAheadBudget.add(-countedBytes);
    consumer = null;
    lastPart = null;
    readAheadBuffer = null;
    decoder.close();
  }
}
