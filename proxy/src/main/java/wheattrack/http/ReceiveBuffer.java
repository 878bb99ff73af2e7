package wheattrack.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The bytes received on a connection and not decoded yet, and the parser of message heads. */
final class ReceiveBuffer {
  /** The size, in bytes, of the longest head. */
  private static final int MAX_HEAD = 16 * 1024;

  /** The most lines of a head, including the first line. */
  private static final int MAX_HEAD_LINES = 100;

  /** The size, in bytes, of the buffer while no long message is received. */
  private static final int MIN_CAPACITY = 1024;

  /** The least free space, in bytes, for a read; with less, the buffer grows first. */
  private static final int MIN_SPACE = MIN_CAPACITY / 4;

  /** The ASCII control character DEL. */
  static final int DELETE = 127;

  private static final int FIRST_PRINTABLE = ' ';

  /** The visible characters that must not be part of a token. */
  private static final String TOKEN_SEPARATORS = "\"(),/:;<=>?@[\\]{}";

  private static final ByteBuffer CLOSED = ByteBuffer.allocate(0);

  /** Holds, from 0 to its position, the bytes received and not consumed. */
  private ByteBuffer buffer = ByteBuffer.allocate(MIN_CAPACITY);

  /** The number of bytes at the start of the buffer known to contain no end of a head. */
  private int scannedBytes;

  /** The buffer for the next bytes received, to be filled by one read. */
  ByteBuffer writableBuffer() {
    if (buffer.remaining() < MIN_SPACE) {
      reallocate(2 * buffer.capacity());
    }
    return buffer;
  }

  /** The buffer for the next bytes received, with at least this capacity in bytes. */
  ByteBuffer writableBuffer(int minCapacity) {
    if (buffer.capacity() < minCapacity) {
      reallocate(minCapacity);
    }
    return writableBuffer();
  }

  /**
   * Appends bytes that were read into another buffer. Must not be called while a read into {@link
   * #writableBuffer} is pending.
   */
  void append(ByteBuffer bytes) {
    if (buffer.remaining() < bytes.remaining()) {
      int needed = buffer.position() + bytes.remaining();
      reallocate(Math.max(needed, 2 * buffer.capacity()));
    }
    buffer.put(bytes);
  }

  private void reallocate(int capacity) {
    buffer = ByteBuffer.allocate(capacity).put(buffer.flip());
  }

  /** Releases the memory of a grown buffer, if it is empty. */
  void shrink() {
    if (buffer.position() == 0 && buffer.capacity() > MIN_CAPACITY) {
      buffer = ByteBuffer.allocate(MIN_CAPACITY);
    }
  }

  /** Drops all bytes received. Must not be called while a read into the buffer is pending. */
  void clear() {
    buffer.clear();
    scannedBytes = 0;
    shrink();
  }

  /** Releases all memory; no further bytes can be received. */
  void close() {
    buffer = CLOSED;
  }

  /** The number of bytes received and not consumed. */
  int size() {
    return buffer.position();
  }

  /** The number of bytes for which memory is allocated. */
  int capacity() {
    return buffer.capacity();
  }

  /** The bytes not consumed yet, to be read; {@link #endReading} must follow. */
  ByteBuffer startReading() {
    return buffer.flip();
  }

  /** Keeps the bytes left unread since {@link #startReading}. */
  void endReading() {
    buffer.compact();
    scannedBytes = 0;
  }

  private byte[] removeFirst(int count) {
    byte[] bytes = new byte[count];
    startReading().get(bytes);
    endReading();
    return bytes;
  }

  /**
   * Consumes a complete head and returns its lines without the empty line at its end, or returns
   * null if the head is not complete.
   *
   * @throws MalformedMessageException if the head is over a limit
   */
  String[] pollHead() throws MalformedMessageException {
    int end = findHeadEnd();
    if (end < 0) {
      if (buffer.position() > MAX_HEAD) {
        throw new MalformedMessageException(
            StatusCode.HEADER_FIELDS_TOO_LARGE, "head over " + MAX_HEAD + " bytes");
      }
      return null;
    }
    String head = new String(removeFirst(end), StandardCharsets.ISO_8859_1);
    String[] lines = head.strip().split("\r?\n");
    if (lines.length > MAX_HEAD_LINES || end > MAX_HEAD) {
      throw new MalformedMessageException(
          StatusCode.HEADER_FIELDS_TOO_LARGE,
          "head over " + MAX_HEAD_LINES + " lines or " + MAX_HEAD + " bytes");
    }
    return lines;
  }

  /**
   * The index after the empty line that ends the head, or -1; empty lines before it are skipped.
   */
  private int findHeadEnd() {
    byte[] bytes = buffer.array();
    boolean hasBegun = hasText(bytes, scannedBytes);
    for (int i = scannedBytes; i < buffer.position(); i++) {
      if (bytes[i] == '\n') {
        if (hasBegun && endsEmptyLine(bytes, i)) {
          return i + 1;
        }
      } else if (bytes[i] != '\r') {
        hasBegun = true;
      }
    }
    scannedBytes = buffer.position();
    return -1;
  }

  /** Whether any of the first {@code count} bytes is not part of a line break. */
  private static boolean hasText(byte[] bytes, int count) {
    for (int i = 0; i < count; i++) {
      if (bytes[i] != '\r' && bytes[i] != '\n') {
        return true;
      }
    }
    return false;
  }

  /** Whether the line feed at the index follows another one, with or without a carriage return. */
  private static boolean endsEmptyLine(byte[] bytes, int index) {
    return (index > 0 && bytes[index - 1] == '\n')
        || (index > 1 && bytes[index - 1] == '\r' && bytes[index - 2] == '\n');
  }

  /**
   * Parses the header lines of a head, which follow its first line.
   *
   * @param lines the lines of the head; the first one is skipped
   * @throws MalformedMessageException if a line has no valid name, or a value with control
   *     characters
   */
  static Headers parseHeaders(String[] lines) throws MalformedMessageException {
    Headers headers = new Headers();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      String name = lines[i].substring(0, Math.max(0, colon));
      if (!isToken(name)) {
        throw new MalformedMessageException(
            StatusCode.BAD_REQUEST, "header line " + i + ": expected NAME: VALUE");
      }
      String value = lines[i].substring(colon + 1).strip();
      if (value.chars().anyMatch(ReceiveBuffer::isForbiddenInValue)) {
        throw new MalformedMessageException(
            StatusCode.BAD_REQUEST, "control character in the value of header line " + i);
      }
      headers.with(name, value);
    }
    return headers;
  }

  private static boolean isForbiddenInValue(int c) {
    return (c < FIRST_PRINTABLE && c != '\t') || c == DELETE;
  }

  /** Whether the text is a token as HTTP defines it, such as a method or a header's name. */
  static boolean isToken(String text) {
    return !text.isEmpty() && text.chars().allMatch(ReceiveBuffer::isTokenCharacter);
  }

  private static boolean isTokenCharacter(int c) {
    return c > ' ' && c < DELETE && TOKEN_SEPARATORS.indexOf(c) < 0;
  }
}
