package wheattrack.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Decodes a response that stays open and brings one JSON object after another, chunked or until the
 * connection's end.
 *
 * <p>Usually each object is a line; an indented one takes several lines and is returned as one.
 * Text that is no object is returned line by line. An empty line shows that the sender is alive.
 * Runs on the event loop's thread only.
 */
public final class LineDecoder {
  /** Bytes of the longest object or line. */
  private static final int MAX_LINE = 4 << 20;

  private static final String OPENING_BRACKETS = "{[";
  private static final String CLOSING_BRACKETS = "}]";

  private final ReceiveBuffer received = new ReceiveBuffer();
  private final ByteAccumulator data = new ByteAccumulator();
  private boolean isOpen;
  private ChunkedDecoder chunkedDecoder;

  // The state of the scan for the end of an object.
  private int scanned; // bytes of data
  private int depth; // brackets open
  private boolean isInString;
  private boolean isEscaped; // the next character of the string
  private boolean isAfterObject; // on the line on which an object ended

  /** The buffer for the next bytes received, to be filled by one read. */
  public ByteBuffer writableBuffer() {
    return received.writableBuffer();
  }

  /** Whether the response itself has ended, though its connection has not. */
  public boolean isEnded() {
    return chunkedDecoder != null && chunkedDecoder.isEnded();
  }

  /** Whether the head of the response was received, with status 200. */
  public boolean isOpen() {
    return isOpen;
  }

  /** Whether an object has begun that is not complete. */
  public boolean isMidLine() {
    return depth > 0;
  }

  /**
   * The next complete object, or line that is none, without white space around it; null if more
   * bytes must be received first.
   *
   * @throws MalformedMessageException if the response has another status than 200, is malformed or
   *     has a line over the limit
   */
  public String next() throws MalformedMessageException {
    if (!isOpen && !readHead()) {
      return null;
    }
    decodeData();
    while (scanned < data.size()) {
      if (isEnd(data.get(scanned++))) {
        return removeScanned();
      }
    }
    if (data.size() >= MAX_LINE) {
      throw new MalformedMessageException(502, "line over " + MAX_LINE + " bytes");
    }
    return null;
  }

  private boolean readHead() throws MalformedMessageException {
    String[] lines = received.pollHead();
    if (lines == null) {
      return false;
    }
    int status = ResponseDecoder.parseStatus(lines[0]);
    if (status != 200) {
      throw new MalformedMessageException(status, "answered " + status);
    }
    chunkedDecoder = ReceiveBuffer.parseHeaders(lines).isChunked() ? new ChunkedDecoder() : null;
    isOpen = true;
    return true;
  }

  private void decodeData() throws MalformedMessageException {
    ByteBuffer bytes = received.startReading();
    try {
      if (chunkedDecoder != null) {
        chunkedDecoder.decode(bytes, data, MAX_LINE);
      } else {
        data.append(bytes, Math.min(bytes.remaining(), MAX_LINE - data.size()));
      }
    } finally {
      received.endReading();
    }
  }

  private String removeScanned() {
    byte[] line = data.removeFirst(scanned);
    scanned = 0;
    depth = 0;
    isInString = false;
    isEscaped = false;
    return new String(line, StandardCharsets.UTF_8).strip();
  }

  /**
   * Scans one more byte; returns whether it ends an object or line. A line feed ends text that is
   * no object, and also a string, in which JSON allows none: so an object that was cut off does not
   * swallow those after it.
   */
  private boolean isEnd(byte c) {
    boolean isLineFeed = c == '\n';
    if (isInString) {
      isInString = isEscaped || c != '"';
      isEscaped = !isEscaped && c == '\\';
      return isLineFeed;
    }
    if (OPENING_BRACKETS.indexOf(c) >= 0) {
      depth++;
    } else if (CLOSING_BRACKETS.indexOf(c) >= 0) {
      depth--;
      isAfterObject = depth <= 0;
      return isAfterObject;
    }
    isInString = depth > 0 && c == '"';
    boolean endsPlainLine = depth == 0 && isLineFeed && !isAfterObject;
    isAfterObject &= !isLineFeed;
    return endsPlainLine;
  }
}
