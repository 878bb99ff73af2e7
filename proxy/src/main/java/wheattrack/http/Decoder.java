package wheattrack.http;

import java.nio.ByteBuffer;

/**
 * Makes messages of the bytes of one connection, as they come. One with a body of up to KEPT bytes
 * comes whole; of a longer one comes the head with the first bytes, and the rest in pieces for who
 * asks for them.
 */
public abstract class Decoder<M> {
  /** The longest body that is kept whole. */
  public static final int MAX_BUFFERED_BODY = 64 * 1024;

  /** The longest body that is passed on, unless it is said otherwise. */
  public static final long DEFAULT_MAX_BODY = 32L << 20;

  /** Of a body whose length is not known: pieces follow, chunked or until the connection's end. */
  public static final long CHUNKED = -1, UNTIL_CLOSE = -2;

  /** The bytes of one read, and of one piece. */
  private static final int PIECE = 16 * 1024;

  private final ReceiveBuffer in = new ReceiveBuffer();
  private final long most;
  private boolean inBody, passing, ended;
  private long left; // of a body of known length
  private long size; // of the body so far
  private ChunkedDecoder chunks;
  private boolean tillEnd;
  private ByteStrings body;

  protected Decoder(long most) {
    this.most = most;
  }

  /** Room for what comes next; to be filled by one read. */
  public ByteBuffer writableBuffer() {
    return inBody && (chunks != null || tillEnd || left > PIECE / 16)
        ? in.writableBuffer(PIECE)
        : in.writableBuffer();
  }

  /** Bytes that came next and were read elsewhere; not while a read fills the room. */
  public void append(ByteBuffer more) {
    in.add(more);
  }

  /** Bytes that wait to be made into a message. */
  public int bufferedBytes() {
    return in.waiting();
  }

  /** Whether a message has begun that is not whole yet. */
  public boolean isMidMessage() {
    return inBody || in.waiting() > 0;
  }

  /** Whether a message was given whose further pieces are still to be asked for. */
  public boolean isStreamingBody() {
    return passing;
  }

  /** Whether the head has come and the body has not. */
  public boolean isInBody() {
    return inBody;
  }

  /** The next message, whole or as far as it is kept, or null while there is none. */
  public M next() throws MalformedMessageException {
    if (passing) {
      return null;
    }
    if (!inBody && !begin()) {
      return null;
    }
    fill(body, MAX_BUFFERED_BODY);
    boolean whole = isWhole();
    boolean measured = chunks == null && !tillEnd;
    if (!whole
        && !(measured && size + left > MAX_BUFFERED_BODY
            ? size >= maxLineBytes()
            : size >= MAX_BUFFERED_BODY)) {
      return null;
    }
    return give(whole);
  }

  private M give(boolean whole) throws MalformedMessageException {
    byte[] kept = body.all();
    body = null;
    passing = !whole;
    long more = whole ? 0 : chunks != null ? CHUNKED : tillEnd ? UNTIL_CLOSE : left;
    if (whole) {
      over();
    }
    return message(kept, more);
  }

  /** Whether a message has begun whose length nobody knows before its end. */
  public boolean isOpenEnded() {
    return inBody && !passing && (chunks != null || tillEnd);
  }

  /** Such a message as far as it has come; takes nothing further of what waits. */
  public M nextWithPartialBody() throws MalformedMessageException {
    return give(false);
  }

  private boolean begin() throws MalformedMessageException {
    String[] lines = in.head();
    if (lines == null) {
      return false;
    }
    Headers headers = ReceiveBuffer.headers(lines);
    long length = readHead(lines[0], headers);
    chunks = length == CHUNKED ? new ChunkedDecoder() : null;
    tillEnd = length == UNTIL_CLOSE;
    left = Math.max(0, length);
    if (length > most) {
      throw tooLong();
    }
    size = 0;
    ended = false;
    body = new ByteStrings();
    inBody = true;
    return true;
  }

  private MalformedMessageException tooLong() {
    return new MalformedMessageException(413, "body over " + most + " bytes");
  }

  /** Undoes the framing of what has come, until so many bytes are in out. */
  private void fill(ByteStrings out, int full) throws MalformedMessageException {
    int before = out.size();
    ByteBuffer came = in.open();
    try {
      if (chunks != null) {
        chunks.decode(came, out, full);
      } else {
        long n = Math.min(came.remaining(), full - before);
        n = tillEnd ? n : Math.min(n, left);
        out.add(came, (int) n);
        left -= n;
      }
    } finally {
      in.taken();
    }
    size += out.size() - before;
    if (size > most) {
      throw tooLong();
    }
  }

  private boolean isWhole() {
    return chunks != null ? chunks.ended() : tillEnd ? ended && in.waiting() == 0 : left == 0;
  }

  private void over() {
    inBody = false;
    passing = false;
    chunks = null;
    in.narrow();
  }

  /** The next bytes of the body that is passed on, or none; isPassing() says whether it goes on. */
  public ByteBuffer nextBodyPart() throws MalformedMessageException {
    ByteStrings out = new ByteStrings(Math.min(PIECE, Math.max(16, in.waiting())));
    fill(out, PIECE);
    if (isWhole()) {
      over();
    }
    return out.buffer();
  }

  /**
   * The connection has ended in order; says whether that is the end of the body that was to come.
   */
  public boolean endOfStream() {
    ended = inBody && tillEnd;
    return ended;
  }

  /** Of a long body of known length: bytes that must be there before its message is given. */
  protected abstract int maxLineBytes();

  /** Takes the first line and the headers; gives the body's length, CHUNKED or TILL_END. */
  protected abstract long readHead(String line, Headers headers) throws MalformedMessageException;

  /** more: bytes that follow the kept ones, or CHUNKED or TILL_END. */
  protected abstract M message(byte[] kept, long more);

  static boolean keepsAlive(String version, Headers headers) {
    return version.equals("HTTP/1.1") && !headers.containsToken("Connection", "close");
  }

  static void checkVersion(String version) throws MalformedMessageException {
    if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
      throw new MalformedMessageException(400, "unknown version");
    }
  }
}
