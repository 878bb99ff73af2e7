package wheattrack.http;

import java.nio.ByteBuffer;

/**
 * Decodes one body in the chunked transfer coding as its bytes arrive. Extensions of chunks and
 * trailers are discarded. Runs on the event loop's thread only.
 */
final class ChunkedDecoder {
  private static final int HEXADECIMAL = 16;

  /** The most hexadecimal digits of a chunk's size. */
  private static final int MAX_SIZE_DIGITS = 8;

  /** The limit, in bytes, on the extension of each chunk, and on all trailers together. */
  private static final int MAX_METADATA_BYTES = 4096;

  /** What the next byte belongs to. */
  private enum State {
    SIZE,
    EXTENSION,
    DATA,
    /** The line break after a chunk's data. */
    DATA_END,
    /** The start of a trailer line, or of the empty line that ends the body. */
    TRAILER_START,
    TRAILER_LINE,
    ENDED
  }

  private State state = State.SIZE;
  private long remainingInChunk; // bytes of data
  private int sizeDigits; // of the current chunk
  private int metadataBytes; // of the current chunk's extension, or of the trailers

  /** Whether the body was decoded to its end. */
  boolean isEnded() {
    return state == State.ENDED;
  }

  /**
   * Consumes bytes up to the buffer's limit or the end of the body, and appends the data among them
   * to {@code data}; stops early where data follows that would make it longer than {@code maxSize}.
   *
   * @throws MalformedMessageException if the bytes are not a chunked body, or if an extension or
   *     the trailers are over the limit
   */
  void decode(ByteBuffer buffer, ByteAccumulator data, int maxSize)
      throws MalformedMessageException {
    while (buffer.hasRemaining() && state != State.ENDED) {
      if (state != State.DATA) {
        decodeFraming(buffer.get() & 0xff);
        continue;
      }
      int count =
          (int) Math.min(Math.min(remainingInChunk, buffer.remaining()), maxSize - data.size());
      if (count == 0) {
        return;
      }
      data.append(buffer, count);
      remainingInChunk -= count;
      if (remainingInChunk == 0) {
        state = State.DATA_END;
      }
    }
  }

  private void decodeFraming(int c) throws MalformedMessageException {
    switch (state) {
      case SIZE -> decodeSize(c);
      case EXTENSION -> decodeExtension(c);
      case DATA_END -> decodeDataEnd(c);
      case TRAILER_START -> decodeTrailerStart(c);
      case TRAILER_LINE -> state = c == '\n' ? State.TRAILER_START : State.TRAILER_LINE;
      default -> throw new IllegalStateException("state " + state + " expects no byte of framing");
    }
    boolean isMetadata = state == State.TRAILER_LINE || state == State.EXTENSION;
    if (isMetadata && ++metadataBytes > MAX_METADATA_BYTES) {
      throw new MalformedMessageException(
          StatusCode.BAD_REQUEST,
          "chunk extension or trailers over " + MAX_METADATA_BYTES + " bytes");
    }
  }

  private void decodeSize(int c) throws MalformedMessageException {
    int digit = Character.digit(c, HEXADECIMAL);
    if (digit >= 0 && ++sizeDigits <= MAX_SIZE_DIGITS) {
      remainingInChunk = HEXADECIMAL * remainingInChunk + digit;
      return;
    }
    boolean isAfterSize = c == ';' || c == '\r' || c == '\n' || c == ' ';
    if (sizeDigits == 0 || sizeDigits > MAX_SIZE_DIGITS || !isAfterSize) {
      throw new MalformedMessageException(
          StatusCode.BAD_REQUEST,
          "chunk size: expected 1 to " + MAX_SIZE_DIGITS + " hexadecimal digits");
    }
    state = State.EXTENSION;
    decodeExtension(c);
  }

  private void decodeExtension(int c) {
    if (c == '\n') {
      state = remainingInChunk == 0 ? State.TRAILER_START : State.DATA;
    }
  }

  private void decodeDataEnd(int c) throws MalformedMessageException {
    if (c == '\n') {
      state = State.SIZE;
      sizeDigits = 0;
      metadataBytes = 0;
    } else if (c != '\r') {
      throw new MalformedMessageException(
          StatusCode.BAD_REQUEST, "chunk data longer than the chunk size, expected a line break");
    }
  }

  private void decodeTrailerStart(int c) {
    if (c == '\n') {
      state = State.ENDED;
    } else if (c != '\r') {
      state = State.TRAILER_LINE;
    }
  }
}
