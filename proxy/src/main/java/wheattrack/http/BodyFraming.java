package wheattrack.http;

/**
 * How the end of a body, or of the part of it that follows, is recognized on a connection.
 * Immutable.
 *
 * @param kind the way in which the end is recognized
 * @param length the number of bytes; 0 unless the kind is {@link Kind#FIXED_LENGTH}
 */
public record BodyFraming(Kind kind, long length) {
  /** The ways in which the end of a body is recognized. */
  public enum Kind {
    /** There is no body, though the headers may give a length: a response to HEAD. */
    NONE,

    /** The number of bytes is known from the start. */
    FIXED_LENGTH,

    /** The body is in the chunked transfer coding and ends with its last chunk. */
    CHUNKED,

    /** The body ends when its connection is closed. */
    UNTIL_CLOSE
  }

  /** The framing of a response to HEAD, which has no body though its headers may give a length. */
  public static final BodyFraming NONE = new BodyFraming(Kind.NONE, 0);

  /** No bytes: an empty body, or nothing left of a body that is complete. */
  public static final BodyFraming EMPTY = new BodyFraming(Kind.FIXED_LENGTH, 0);

  /** The chunked transfer coding. */
  public static final BodyFraming CHUNKED = new BodyFraming(Kind.CHUNKED, 0);

  /** A body that ends when its connection is closed. */
  public static final BodyFraming UNTIL_CLOSE = new BodyFraming(Kind.UNTIL_CLOSE, 0);

  /**
   * The framing of this number of bytes.
   *
   * @param length the number of bytes, 0 or more
   */
  public static BodyFraming fixedLength(long length) {
    return length == 0 ? EMPTY : new BodyFraming(Kind.FIXED_LENGTH, length);
  }

  /** Whether no bytes of a body follow. */
  public boolean isEmpty() {
    return hasKnownLength() && length == 0;
  }

  /** Whether the number of bytes is known before they are received; it is {@link #length}. */
  public boolean hasKnownLength() {
    return !isChunked() && !isUntilClose();
  }

  /** Whether there is no body, whatever length the headers give. */
  public boolean isNone() {
    return kind == Kind.NONE;
  }

  /** Whether the bytes are in the chunked transfer coding. */
  public boolean isChunked() {
    return kind == Kind.CHUNKED;
  }

  /** Whether the bytes end when the connection is closed. */
  public boolean isUntilClose() {
    return kind == Kind.UNTIL_CLOSE;
  }
}
