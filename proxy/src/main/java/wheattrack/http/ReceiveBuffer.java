package wheattrack.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Bytes that have come on a connection and are not yet taken, and the heads of messages among them.
 */
final class ReceiveBuffer {
  private static final int LEAST = 1024;
  static final int MOST_HEAD = 16 * 1024;
  private static final int MOST_LINES = 100;

  private ByteBuffer in = ByteBuffer.allocate(LEAST); // from 0 to position: not yet taken
  private int scanned;

  /** Room for what comes next; to be filled by one read. */
  ByteBuffer writableBuffer() {
    if (in.remaining() < LEAST / 4) {
      in = ByteBuffer.allocate(2 * in.capacity()).put(in.flip());
    }
    return in;
  }

  /** Wide room, for a long body. */
  ByteBuffer writableBuffer(int wide) {
    if (in.capacity() < wide) {
      in = ByteBuffer.allocate(wide).put(in.flip());
    }
    return writableBuffer();
  }

  /** Puts bytes behind those that wait; not while a read fills the room. */
  void add(ByteBuffer more) {
    if (in.remaining() < more.remaining()) {
      int needed = in.position() + more.remaining();
      in = ByteBuffer.allocate(Math.max(needed, 2 * in.capacity())).put(in.flip());
    }
    in.put(more);
  }

  /** Gives wide room back, where nothing waits in it. */
  void narrow() {
    if (in.position() == 0 && in.capacity() > LEAST) {
      in = ByteBuffer.allocate(LEAST);
    }
  }

  int waiting() {
    return in.position();
  }

  /** The bytes not yet taken, to read from; taken() must follow. */
  ByteBuffer open() {
    return in.flip();
  }

  /** Keeps what open() left unread. */
  void taken() {
    in.compact();
    scanned = 0;
  }

  byte[] take(int n) {
    byte[] bytes = new byte[n];
    open().get(bytes);
    taken();
    return bytes;
  }

  /** The lines of a whole head, without the empty one at its end, or null while it is not whole. */
  String[] head() throws MalformedMessageException {
    int end = headEnd();
    if (end < 0) {
      if (in.position() > MOST_HEAD) {
        throw new MalformedMessageException(431, "head over " + MOST_HEAD + " bytes");
      }
      return null;
    }
    String[] lines = new String(take(end), StandardCharsets.ISO_8859_1).strip().split("\r?\n");
    if (lines.length > MOST_LINES || end > MOST_HEAD) {
      throw new MalformedMessageException(431, "too many header lines");
    }
    return lines;
  }

  /** Where the empty line after the head ends; empty lines before the head are passed over. */
  private int headEnd() {
    byte[] bytes = in.array();
    boolean begun = false;
    for (int i = 0; i < scanned; i++) {
      if (bytes[i] != '\r' && bytes[i] != '\n') {
        begun = true;
        break;
      }
    }
    for (int i = scanned; i < in.position(); i++) {
      if (bytes[i] == '\n') {
        if (begun
            && (i > 0 && bytes[i - 1] == '\n'
                || i > 1 && bytes[i - 1] == '\r' && bytes[i - 2] == '\n')) {
          return i + 1;
        }
      } else if (bytes[i] != '\r') {
        begun = true;
      }
    }
    scanned = in.position();
    return -1;
  }

  static Headers headers(String[] lines) throws MalformedMessageException {
    Headers headers = new Headers();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      String name = lines[i].substring(0, Math.max(0, colon));
      if (!isToken(name)) {
        throw new MalformedMessageException(400, "bad header line");
      }
      String value = lines[i].substring(colon + 1).strip();
      if (value.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127)) {
        throw new MalformedMessageException(400, "bad header value");
      }
      headers.with(name, value);
    }
    return headers;
  }

  static boolean isToken(String word) {
    return !word.isEmpty()
        && word.chars().allMatch(c -> c > ' ' && c < 127 && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0);
  }
}
