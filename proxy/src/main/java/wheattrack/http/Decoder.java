package wheattrack.http;

import java.nio.ByteBuffer;

/**
 * Decodes messages from the bytes of one connection as they arrive.
 *
 * <p>A message with a body of up to {@link #MAX_BUFFERED_BODY} bytes is returned complete. Of one
 * with a longer body the head is returned with the first bytes, and the rest is streamed: it is
 * fetched part by part with {@link #nextBodyPart}. Runs on the event loop's thread only.
 *
 * @param <M> the type of a message
 */
public abstract class Decoder<M> {
  /** Bytes of the longest body that is returned complete with its message. */
  public static final int MAX_BUFFERED_BODY = 64 * 1024;

  /** Bytes of the longest body that is accepted, unless another limit is given. */
  public static final long DEFAULT_MAX_BODY = 32L << 20;

  /** The most bytes of one read of a long body, and of one part of it. */
  private static final int MAX_PART = 16 * 1024;

  /** Bytes of the longest rest of a body that is read into a small buffer. */
  private static final int MAX_SMALL_REST = MAX_PART / 16;

  /** The least capacity of the buffer for one part. */
  private static final int MIN_PART_CAPACITY = 16;

  private final ReceiveBuffer received = new ReceiveBuffer();
  private final long maxBody;

  private boolean isInBody;
  private boolean isStreamingBody;

  private BodyFraming framing = BodyFraming.EMPTY; // of the current body
  private ChunkedDecoder chunkedDecoder; // of a chunked body only
  private boolean hasStreamEnded; // matters to a body until the connection's end only
  private long remaining; // bytes, of a body of known length only

  private long bodySize; // the bytes of the body decoded so far
  private ByteAccumulator bufferedBody;

  /** Creates a decoder that accepts bodies of up to so many bytes. */
  protected Decoder(long maxBody) {
    this.maxBody = maxBody;
  }

  /** The buffer for the next bytes received, to be filled by one read. */
  public ByteBuffer writableBuffer() {
    boolean isLargeRestExpected =
        isInBody && (!framing.hasKnownLength() || remaining > MAX_SMALL_REST);
    return isLargeRestExpected ? received.writableBuffer(MAX_PART) : received.writableBuffer();
  }

  /**
   * Appends bytes that were read into another buffer. Must not be called while a read into {@link
   * #writableBuffer} is pending.
   */
  public void append(ByteBuffer bytes) {
    received.append(bytes);
  }

  /** The number of bytes received and not decoded yet. */
  public int bufferedBytes() {
    return received.size();
  }

  /** Whether a message has begun that is not complete yet. */
  public boolean isMidMessage() {
    return isInBody || received.size() > 0;
  }

  /** Whether a message was returned of whose body further parts are still to be fetched. */
  public boolean isStreamingBody() {
    return isStreamingBody;
  }

  /** Whether the head of a message was decoded and its body is not complete. */
  public boolean isInBody() {
    return isInBody;
  }

  /**
   * The next message, complete or with the start of its body, or null if more bytes must be
   * received first or the current body is still being streamed.
   *
   * @throws MalformedMessageException if the bytes are no valid message, or one over a limit; the
   *     decoder must not be used any more
   */
  public M next() throws MalformedMessageException {
    if (isStreamingBody) {
      return null;
    }
    if (!isInBody && !startMessage()) {
      return null;
    }
    decodeBody(bufferedBody, MAX_BUFFERED_BODY);
    boolean isComplete = isBodyComplete();
    if (!isComplete && bodySize < bytesBeforeStreaming()) {
      return null;
    }
    return finishMessage(isComplete);
  }

  /** How many bytes of an incomplete body must have been decoded before its message is returned. */
  private int bytesBeforeStreaming() {
    boolean isKnownToBeLong = framing.hasKnownLength() && bodySize + remaining > MAX_BUFFERED_BODY;
    return isKnownToBeLong ? minBytesOfLongBody() : MAX_BUFFERED_BODY;
  }

  private M finishMessage(boolean isComplete) throws MalformedMessageException {
    byte[] body = bufferedBody.toByteArray();
    bufferedBody = null;
    isStreamingBody = !isComplete;
    BodyFraming remainingBody = remainingBody(isComplete);
    if (isComplete) {
      endBody();
    }
    return message(body, remainingBody);
  }

  private BodyFraming remainingBody(boolean isComplete) {
    if (framing.isNone()) {
      return BodyFraming.NONE;
    }
    if (isComplete) {
      return BodyFraming.EMPTY;
    }
    return framing.hasKnownLength() ? BodyFraming.fixedLength(remaining) : framing;
  }

  /** Whether a message has begun whose length shows only at its end, and was not returned yet. */
  public boolean isOpenEnded() {
    return isInBody && !isStreamingBody && !framing.hasKnownLength();
  }

  /**
   * The message for which {@link #isOpenEnded} holds, with the part of its body decoded so far; the
   * rest is streamed.
   */
  public M nextWithPartialBody() throws MalformedMessageException {
    return finishMessage(false);
  }

  private boolean startMessage() throws MalformedMessageException {
    String[] lines = received.pollHead();
    if (lines == null) {
      return false;
    }
    Headers headers = ReceiveBuffer.parseHeaders(lines);
    framing = readHead(lines[0], headers);
    chunkedDecoder = framing.isChunked() ? new ChunkedDecoder() : null;
    remaining = framing.length();
    if (remaining > maxBody) {
      throw bodyTooLong();
    }
    bodySize = 0;
    hasStreamEnded = false;
    bufferedBody = new ByteAccumulator();
    isInBody = true;
    return true;
  }

  private MalformedMessageException bodyTooLong() {
    return new MalformedMessageException(413, "body over " + maxBody + " bytes");
  }

  /** Decodes received bytes of the body until {@code data} holds {@code maxSize} bytes. */
  private void decodeBody(ByteAccumulator data, int maxSize) throws MalformedMessageException {
    int sizeBefore = data.size();
    ByteBuffer bytes = received.startReading();
    try {
      if (chunkedDecoder != null) {
        chunkedDecoder.decode(bytes, data, maxSize);
      } else {
        copyBody(bytes, data, maxSize);
      }
    } finally {
      received.endReading();
    }
    bodySize += data.size() - sizeBefore;
    if (bodySize > maxBody) {
      throw bodyTooLong();
    }
  }

  private void copyBody(ByteBuffer bytes, ByteAccumulator data, int maxSize) {
    long count = Math.min(bytes.remaining(), maxSize - data.size());
    if (framing.hasKnownLength()) {
      count = Math.min(count, remaining);
    }
    data.append(bytes, (int) count);
    remaining -= count;
  }

  private boolean isBodyComplete() {
    if (chunkedDecoder != null) {
      return chunkedDecoder.isEnded();
    }
    return framing.isUntilClose() ? hasStreamEnded && received.size() == 0 : remaining == 0;
  }

  private void endBody() {
    isInBody = false;
    isStreamingBody = false;
    chunkedDecoder = null;
    received.shrink();
  }

  /**
   * The next received bytes of the body that is streamed, which may be none. Afterwards {@link
   * #isStreamingBody} says whether more of it follows.
   *
   * @throws MalformedMessageException if the bytes are no valid body, or one over the limit
   */
  public ByteBuffer nextBodyPart() throws MalformedMessageException {
    int capacity = Math.min(MAX_PART, Math.max(MIN_PART_CAPACITY, received.size()));
    ByteAccumulator part = new ByteAccumulator(capacity);
    decodeBody(part, MAX_PART);
    if (isBodyComplete()) {
      endBody();
    }
    return part.asBuffer();
  }

  /**
   * Notes that the connection has ended in order; returns whether that is the proper end of the
   * current body.
   */
  public boolean endOfStream() {
    hasStreamEnded = isInBody && framing.isUntilClose();
    return hasStreamEnded;
  }

  /**
   * How many bytes of a body known to be over {@link #MAX_BUFFERED_BODY} must have been decoded
   * before its message is returned.
   */
  protected abstract int minBytesOfLongBody();

  /**
   * Parses the first line and keeps what {@link #message} needs.
   *
   * @return the framing of the body
   * @throws MalformedMessageException if the line or the headers are not valid
   */
  protected abstract BodyFraming readHead(String firstLine, Headers headers)
      throws MalformedMessageException;

  /**
   * Creates the message of the last head read.
   *
   * @param body the body, or its start
   * @param remainingBody the framing of the part of the body that follows
   */
  protected abstract M message(byte[] body, BodyFraming remainingBody);

  /** Whether the connection of a message may carry a further one. */
  static boolean keepsAlive(String version, Headers headers) {
    return version.equals("HTTP/1.1") && !headers.containsToken("Connection", "close");
  }

  static void checkVersion(String version) throws MalformedMessageException {
    if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
      throw new MalformedMessageException(400, "unknown version");
    }
  }
}
