package wheattrack.http;

import java.nio.ByteBuffer;

/**
 * Decodes messages from the bytes of one connection as they arrive.
 *
 * <p>A message with a body of up to {@link #MAX_BUFFERED_BODY} bytes is returned complete. A
 * message with a longer body is returned with the start of its body, and the rest is streamed: it
 * is fetched part by part with {@link #nextBodyPart}. Runs on the event loop's thread only.
 *
 * @param <M> the type of a message
 */
public abstract class Decoder<M> {
  /** The size, in bytes, of the longest body that is returned complete with its message. */
  public static final int MAX_BUFFERED_BODY = 64 * 1024;

  /** The size, in bytes, of the longest body that is accepted, unless another limit is given. */
  public static final long DEFAULT_MAX_BODY = 32L << 20;

  /** The HTTP version of the messages that this program sends. */
  static final String HTTP_1_1 = "HTTP/1.1";

  /** The older HTTP version that is accepted too; its connections carry one message each. */
  static final String HTTP_1_0 = "HTTP/1.0";

  /** The most bytes of one read of a long body, and of one part of it. */
  private static final int MAX_PART = 16 * 1024;

  /** The most bytes of one read of a body that is returned complete, if its length is known. */
  private static final int MAX_BUFFERED_READ = MAX_PART / 2;

  /** The most remaining bytes of a body that are read into a buffer of the default size. */
  private static final int MAX_SMALL_REST = MAX_PART / 16;

  /** The least capacity, in bytes, of the buffer for one part. */
  private static final int MIN_PART_CAPACITY = 16;

  /** How far the current message has been decoded. */
  private enum State {
    /** The head of the next message is not complete. */
    AWAITING_HEAD,

    /** The head was decoded; its body is collected until the message can be returned. */
    BUFFERING_BODY,

    /** The message was returned with the start of its body; the rest is fetched part by part. */
    STREAMING_BODY
  }

  private final ReceiveBuffer received = new ReceiveBuffer();
  private final BodyDecoder bodyDecoder = new BodyDecoder();
  private final long maxBody;

  private State state = State.AWAITING_HEAD;
  private ByteAccumulator bufferedBody; // set in BUFFERING_BODY only, unless it was discarded
  private long headBytes; // memory of the decoded head until its message is returned

  /**
   * Creates a decoder.
   *
   * @param maxBody the size, in bytes, of the longest body that is accepted
   */
  protected Decoder(long maxBody) {
    this.maxBody = maxBody;
  }

  /** The buffer for the next bytes received, to be filled by one read. */
  public ByteBuffer writableBuffer() {
    if (isLargeRestExpected()) {
      return received.writableBuffer(isShortBody() ? MAX_BUFFERED_READ : MAX_PART);
    }
    received.shrink();
    return received.writableBuffer();
  }

  private boolean isShortBody() {
    return state == State.BUFFERING_BODY
        && bodyDecoder.framing().hasKnownLength()
        && bodyDecoder.framing().length() <= MAX_BUFFERED_BODY;
  }

  private boolean isLargeRestExpected() {
    if (!isInBody()) {
      return false;
    }
    boolean hasKnownLength = bodyDecoder.framing().hasKnownLength();
    return !hasKnownLength || bodyDecoder.remainingBytes() > MAX_SMALL_REST;
  }

  /**
   * Appends bytes that were read into another buffer. Must not be called while a read into {@link
   * #writableBuffer} is pending.
   */
  public void append(ByteBuffer bytes) {
    received.append(bytes);
  }

  /** The number of bytes of memory held for what was received and not returned yet. */
  public long heldBytes() {
    long bodyBytes = bufferedBody == null ? 0 : bufferedBody.capacity();
    return received.capacity() + bodyBytes + headBytes;
  }

  /** Drops the part of the current message's body that is collected; it cannot be returned then. */
  public void discardBufferedBody() {
    bufferedBody = null;
    headBytes = 0;
  }

  /**
   * Drops the bytes received and not decoded yet; no further message can be decoded then. Must not
   * be called while a read into {@link #writableBuffer} is pending.
   */
  public void discardReceivedBytes() {
    received.clear();
  }

  /**
   * Releases all memory, as the connection is closed; no further message can be decoded. Others may
   * refer to the connection for as long as a request takes.
   */
  public void close() {
    discardBufferedBody();
    received.close();
  }

  /** The number of bytes received and not decoded yet. */
  public int bufferedBytes() {
    return received.size();
  }

  /** Whether a message has begun that is not complete yet. */
  public boolean isMidMessage() {
    return isInBody() || received.size() > 0;
  }

  /** Whether a message was returned whose body has further parts that are to be fetched. */
  public boolean isStreamingBody() {
    return state == State.STREAMING_BODY;
  }

  /** Whether the head of a message was decoded and its body is not complete. */
  public boolean isInBody() {
    return state != State.AWAITING_HEAD;
  }

  /**
   * Whether the received bytes that are not decoded yet may contain the end of the body that is
   * streamed.
   */
  public boolean mayHoldEndOfBody() {
    boolean hasKnownLength = bodyDecoder.framing().hasKnownLength();
    return hasKnownLength ? missingBodyBytes() <= 0 : received.size() > 0;
  }

  /**
   * How many bytes of the body that is streamed have at least not been received yet; 0 if its
   * length is unknown.
   */
  public long missingBodyBytes() {
    boolean hasKnownLength = isInBody() && bodyDecoder.framing().hasKnownLength();
    return hasKnownLength ? bodyDecoder.remainingBytes() - received.size() : 0;
  }

  /** Whether a message whose body has no known length has begun and was not returned yet. */
  public boolean isOpenEnded() {
    return state == State.BUFFERING_BODY && !bodyDecoder.framing().hasKnownLength();
  }

  /**
   * The next message, complete or with the start of its body, or null if more bytes must be
   * received first or the current body is still being streamed.
   *
   * @throws MalformedMessageException if the bytes are not a valid message or exceed a limit; the
   *     decoder must not be used any more
   */
  public M next() throws MalformedMessageException {
    if (state == State.STREAMING_BODY) {
      return null;
    }
    if (state == State.AWAITING_HEAD && !startMessage()) {
      return null;
    }
    decodeBody(bufferedBody, MAX_BUFFERED_BODY);
    if (isBodyComplete()) {
      return finishCompleteMessage();
    }
    if (bodyDecoder.decodedBytes() < bytesBeforeStreaming()) {
      return null;
    }
    return startStreaming();
  }

  /**
   * The current message with the part of its body decoded so far; the rest is streamed. May be
   * called only while {@link #isOpenEnded} holds.
   */
  public M nextWithPartialBody() {
    return startStreaming();
  }

  /**
   * The first bytes of the body decoded so far, {@code maxSize} at most. May be called only while
   * {@link #isOpenEnded} holds.
   */
  public byte[] startOfBufferedBody(int maxSize) {
    return bufferedBody.copyOfStart(maxSize);
  }

  /**
   * The next received bytes of the body that is streamed, which may be none. Afterwards {@link
   * #isStreamingBody} shows whether more of it follows.
   *
   * @throws MalformedMessageException if the bytes are not a valid body or exceed the limit
   */
  public ByteBuffer nextBodyPart() throws MalformedMessageException {
    int capacity = Math.min(MAX_PART, Math.max(MIN_PART_CAPACITY, received.size()));
    ByteAccumulator part = new ByteAccumulator(capacity, MAX_PART);
    decodeBody(part, MAX_PART);
    if (isBodyComplete()) {
      endMessage();
    }
    return part.asBuffer();
  }

  /**
   * Notes that the peer has closed its side of the connection; returns whether that is a valid end
   * of the current body.
   */
  public boolean endOfStream() {
    return isInBody() && bodyDecoder.endOfStream();
  }

  private boolean startMessage() throws MalformedMessageException {
    String[] lines = received.pollHead();
    if (lines == null) {
      return false;
    }
    Headers headers = ReceiveBuffer.parseHeaders(lines);
    BodyFraming framing = readHead(lines[0], headers);
    if (framing.length() > maxBody) {
      throw bodyTooLong();
    }
    bodyDecoder.start(framing);
    bufferedBody = ByteAccumulator.ofMaxSize(maxBufferedSize(framing));
    headBytes = headers.heldBytes();
    state = State.BUFFERING_BODY;
    return true;
  }

  private static int maxBufferedSize(BodyFraming framing) {
    return framing.hasKnownLength()
        ? (int) Math.min(MAX_BUFFERED_BODY, framing.length())
        : MAX_BUFFERED_BODY;
  }

  private MalformedMessageException bodyTooLong() {
    return new MalformedMessageException(
        StatusCode.CONTENT_TOO_LARGE, "body over " + maxBody + " bytes");
  }

  /** Decodes received bytes of the body until {@code data} holds {@code maxSize} bytes. */
  private void decodeBody(ByteAccumulator data, int maxSize) throws MalformedMessageException {
    ByteBuffer bytes = received.startReading();
    try {
      bodyDecoder.decode(bytes, data, maxSize);
    } finally {
      received.endReading();
    }
    if (bodyDecoder.decodedBytes() > maxBody) {
      throw bodyTooLong();
    }
  }

  private boolean isBodyComplete() {
    return bodyDecoder.isComplete(received.size());
  }

  /** How many bytes of an incomplete body must have been decoded before its message is returned. */
  private int bytesBeforeStreaming() {
    long knownLength = bodyDecoder.decodedBytes() + bodyDecoder.remainingBytes();
    boolean isKnownToBeLong =
        bodyDecoder.framing().hasKnownLength() && knownLength > MAX_BUFFERED_BODY;
    return isKnownToBeLong ? minBytesOfLongBody() : MAX_BUFFERED_BODY;
  }

  private M finishCompleteMessage() {
    byte[] body = removeBufferedBody();
    boolean hasNoBody = bodyDecoder.framing().isNone();
    endMessage();
    return message(body, hasNoBody ? BodyFraming.NONE : BodyFraming.EMPTY);
  }

  private M startStreaming() {
    byte[] startOfBody = removeBufferedBody();
    state = State.STREAMING_BODY;
    return message(startOfBody, bodyDecoder.remaining());
  }

  private byte[] removeBufferedBody() {
    byte[] body = bufferedBody.takeBytes();
    bufferedBody = null;
    headBytes = 0;
    return body;
  }

  private void endMessage() {
    state = State.AWAITING_HEAD;
    bodyDecoder.end();
    received.shrink();
  }

  /**
   * How many bytes of a body known to be over {@link #MAX_BUFFERED_BODY} must have been decoded
   * before its message is returned.
   */
  protected abstract int minBytesOfLongBody();

  /**
   * Parses the first line and stores what {@link #message} needs.
   *
   * @param firstLine the request line or status line
   * @param headers the headers of the message
   * @return the framing of the body
   * @throws MalformedMessageException if the line or the headers are not valid
   */
  protected abstract BodyFraming readHead(String firstLine, Headers headers)
      throws MalformedMessageException;

  /**
   * Creates the message whose head was passed to {@link #readHead} last.
   *
   * @param body the body, or its start
   * @param remainingBody the framing of the part of the body that follows
   */
  protected abstract M message(byte[] body, BodyFraming remainingBody);

  /**
   * Whether the connection of a message may carry further messages.
   *
   * @param version the HTTP version of the message
   * @param headers the headers of the message
   */
  static boolean keepsAlive(String version, Headers headers) {
    return version.equals(HTTP_1_1) && !headers.containsToken("Connection", "close");
  }

  /**
   * Checks the HTTP version of a request.
   *
   * @throws MalformedMessageException if the version is not supported
   */
  static void checkVersion(String version) throws MalformedMessageException {
    if (!version.equals(HTTP_1_1) && !version.equals(HTTP_1_0)) {
      throw new MalformedMessageException(
          StatusCode.BAD_REQUEST, "HTTP version: expected " + HTTP_1_1 + " or " + HTTP_1_0);
    }
  }
}
