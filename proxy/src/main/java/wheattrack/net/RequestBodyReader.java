package wheattrack.net;

import java.nio.ByteBuffer;
import wheattrack.aio.EventLoop;
import wheattrack.core.MinimumTransferRate;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.RequestDecoder;

/**
 * Reads what a client sends: the rest of a long body, one part for each time it is asked for, and
 * ahead of that a bounded number of bytes, so that the client is seen to disconnect while its
 * request is open. Bytes read ahead are counted in the listener's budget. Runs on the event loop's
 * thread only.
 *
 * <p>Incident: clients that disconnected with bytes behind their request were not seen to do so.
 */
final class RequestBodyReader {
  /** Bytes at most that are read ahead while a request is open, in general. */
  private static final int MAX_READ_AHEAD = 32 * 1024;

  /** Bytes at most that are read ahead of a long body until its first part is asked for. */
  private static final int MAX_BODY_READ_AHEAD = 1 << 20;

  /** Bytes of one read ahead, usually. */
  private static final int READ_SIZE = 4 * 1024;

  /** Bytes of one read ahead of a long body. */
  private static final int BODY_READ_SIZE = 16 * 1024;

  /** Takes the parts of a long body, one for each time that it asks for one. */
  interface BodyPartConsumer {
    /**
     * Takes a part.
     *
     * @param part the bytes; may be empty if it is the last one
     * @param isLast whether the body ends with it
     */
    void accept(ByteBuffer part, boolean isLast);
  }

  private final ClientConnection connection;
  private final ReadAheadBudget readAheadBudget;
  private final EventLoop loop;
  private final RequestDecoder decoder;
  private final ConnectionTimeouts timeouts;
  private final MinimumTransferRate transferRate = new MinimumTransferRate();

  /** Whether the body of a request is under way, for which the minimum rate holds. */
  private boolean isInBody;

  /** Whether a part of the present long body was asked for yet. */
  private boolean isBodyRequested;

  /** Who has asked for the next part, or null. */
  private BodyPartConsumer consumer;

  /**
   * The last part of a long body, kept until all else that has come is handled: its client may have
   * disconnected.
   */
  private ByteBuffer lastPart;

  /** What a read fills apart from the decoder's buffer, which is decoded meanwhile; or null. */
  private ByteBuffer readAheadBuffer;

  /** Bytes that are counted in the budget as read ahead. */
  private int countedBytes;

  /** Whether bytes that were read ahead had to be dropped. */
  private boolean hasDroppedBytes;

  RequestBodyReader(
      ClientConnection connection,
      ReadAheadBudget readAheadBudget,
      EventLoop loop,
      RequestDecoder decoder,
      ConnectionTimeouts timeouts) {
    this.connection = connection;
    this.readAheadBudget = readAheadBudget;
    this.loop = loop;
    this.decoder = decoder;
    this.timeouts = timeouts;
  }

  /** Takes note of the bytes of one read, and gives those that were read ahead to the decoder. */
  void onRead(int count) {
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
      hasDroppedBytes = true;
    }
    if (!connection.isLingering() && !hasDroppedBytes) {
      decoder.append(bytes);
      updateCount();
    }
  }

  private void updateCount() {
    readAheadBudget.add(decoder.bufferedBytes() - countedBytes);
    countedBytes = decoder.bufferedBytes();
  }

  /**
   * Reads on, for the next bytes or the client's disconnecting. While bytes wait that nobody asks
   * for yet, others are read ahead, apart from them.
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
    if (decoder.bufferedBytes() < MAX_READ_AHEAD) {
      return true;
    }
    if (!connection.hasDisconnectCallback()) {
      return false;
    }
    if (!decoder.isStreamingBody()) {
      return true; // beyond the bound its bytes are dropped
    }
    return !isBodyRequested
        && decoder.bufferedBytes() < MAX_BODY_READ_AHEAD
        && readAheadBudget.isAvailable();
  }

  /** Whether the decoder's bytes may be decoded: no read fills its buffer. */
  boolean isDecoderAvailable() {
    return !connection.isReading() || readAheadBuffer != null;
  }

  /** Whether what is still to come of the request cannot be read any more. */
  boolean hasUnreadableBytes() {
    return decoder.isStreamingBody() || hasDroppedBytes;
  }

  /** Whether the next part of a long body is asked for and has not come yet. */
  boolean isPartAwaited() {
    return consumer != null && lastPart == null;
  }

  /** A request has come, complete or with its body's first bytes. */
  void onRequest() {
    if (decoder.isStreamingBody() && !isInBody) {
      transferRate.start(loop.now());
    }
    isInBody = decoder.isStreamingBody();
    isBodyRequested = false;
    transferRate.pause(loop.now());
  }

  /** The head of a request has come, but not as much of its body as must be there. */
  void awaitRestOfRequest() {
    if (!isInBody) {
      isInBody = true;
      transferRate.start(loop.now());
    }
    timeouts.awaitBody(transferRate.remaining(loop.now()));
  }

  /** The request has its complete response, and the connection serves on. */
  void onResponseComplete() {
    isInBody = false;
  }

  /** Asks for the next part of the long body. */
  void requestPart(BodyPartConsumer next) {
    consumer = next;
    isBodyRequested = true;
    transferRate.resume(loop.now());
    timeouts.awaitBody(transferRate.remaining(loop.now()));
    if (lastPart != null) {
      loop.execute(this::deliverLastPart);
    } else if (isDecoderAvailable()) { // else it comes with what that read brings
      deliverPart();
      readMore();
    }
  }

  /** No part is asked for any more; what has come stays for who asks next. */
  void cancelRequest() {
    consumer = null;
    if (decoder.isStreamingBody() && !connection.isRelayingResponse()) {
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
      if (!isInBody) {
        lastPart = part;
        readMore();
        loop.execute(this::deliverLastPart);
      } else if (part.hasRemaining()) {
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
    if (lastPart != null && consumer != null) { // else it has disconnected, or nobody asks now
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

  /** The connection is closed: nothing is delivered any more, and nothing counted as read ahead. */
  void close() {
    readAheadBudget.add(-countedBytes);
    consumer = null;
    lastPart = null;
  }
}
