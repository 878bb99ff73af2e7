package wheattrack.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One answer that stays open and brings one JSON object after another, in chunks or plain. Usually
 * each is a line; an indented one is several, and counts as one. An empty line is a sign of life.
 */
public final class LineDecoder {
  private static final int MOST_LINE = 4 << 20;
  private static final String OPEN = "{[", CLOSE = "}]";

  private final ReceiveBuffer in = new ReceiveBuffer();
  private final ByteStrings data = new ByteStrings();
  private boolean open;
  private ChunkedDecoder chunks;

  /**
   * How far the data is scanned: brackets open, within a text, behind a backslash, behind an
   * object.
   */
  private int seen, depth;

  private boolean quoted, escaped, behind;

  public ByteBuffer writableBuffer() {
    return in.writableBuffer();
  }

  /** Whether the answer itself has ended, though its connection has not. */
  public boolean isEnded() {
    return chunks != null && chunks.ended();
  }

  /** Whether its head has come, with a 200. */
  public boolean isOpen() {
    return open;
  }

  /** Whether an object has begun that is not whole. */
  public boolean isMidLine() {
    return depth > 0;
  }

  /** The next whole object, or line that is none, stripped; null while there is none. */
  public String next() throws MalformedMessageException {
    if (!open) {
      String[] lines = in.head();
      if (lines == null) {
        return null;
      }
      int status = ResponseDecoder.status(lines[0]);
      if (status != 200) {
        throw new MalformedMessageException(status, "answered " + status);
      }
      chunks = ReceiveBuffer.headers(lines).chunked() ? new ChunkedDecoder() : null;
      open = true;
    }
    ByteBuffer came = in.open();
    try {
      if (chunks != null) {
        chunks.decode(came, data, MOST_LINE);
      } else {
        data.add(came, Math.min(came.remaining(), MOST_LINE - data.size()));
      }
    } finally {
      in.taken();
    }
    while (seen < data.size()) {
      if (isEnd(data.at(seen++))) {
        byte[] whole = data.take(seen);
        seen = 0;
        depth = 0;
        quoted = false;
        escaped = false;
        return new String(whole, StandardCharsets.UTF_8).strip();
      }
    }
    if (data.size() >= MOST_LINE) {
      throw new MalformedMessageException(502, "line over " + MOST_LINE + " bytes");
    }
    return null;
  }

  /** Takes one more byte. A line feed ends what is no object, or a text cut off. */
  private boolean isEnd(byte c) {
    boolean feed = c == '\n';
    if (quoted) {
      quoted = escaped || c != '"';
      escaped = !escaped && c == '\\';
      return feed;
    }
    if (OPEN.indexOf(c) >= 0) {
      depth++;
    } else if (CLOSE.indexOf(c) >= 0) {
      behind = --depth <= 0;
      return behind;
    }
    quoted = depth > 0 && c == '"';
    boolean line = depth == 0 && feed && !behind;
    behind &= !feed;
    return line;
  }
}
