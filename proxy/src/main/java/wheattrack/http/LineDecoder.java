package wheattrack.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Decodes a long-running response whose body, chunked or ended by closing the connection, is a
 * sequence of JSON objects.
 *
 * <p>Usually each object is a line; an indented object spans several lines and is returned as one
 * text. Other text is returned line by line. An empty line shows that the sender is alive. Runs on
 * the event loop's thread only.
 */
public final class LineDecoder {
  /** The size, in bytes, of the longest object or line. */
  private static final int MAX_LINE = 4 << 20;

  private final ReceiveBuffer received = new ReceiveBuffer();
  private final ByteAccumulator data = new ByteAccumulator();
  private final JsonObjectScanner scanner = new JsonObjectScanner();
  private int scannedBytes; // the number of bytes at the start of data that were scanned
  private boolean isOpen;
  private ChunkedDecoder chunkedDecoder; // null unless the response is chunked

  /** The buffer for the next bytes received, to be filled by one read. */
  public ByteBuffer writableBuffer() {
    return received.writableBuffer();
  }

  /** Whether the last chunk was received, so that the response has ended. */
  public boolean isEnded() {
    return chunkedDecoder != null && chunkedDecoder.isEnded();
  }

  /** Whether the head of the response was received, with status 200. */
  public boolean isOpen() {
    return isOpen;
  }

  /** Whether an object has begun that is not complete. */
  public boolean isMidLine() {
    return scanner.isInObject();
  }

  /**
   * The next complete object, or line of other text, without white space around it; null if more
   * bytes must be received first.
   *
   * @throws MalformedMessageException if the response has a status other than 200, is malformed or
   *     has an object or line over the limit
   */
  public String next() throws MalformedMessageException {
    if (!isOpen && !readHead()) {
      return null;
    }
    decodeData();
    while (scannedBytes < data.size()) {
      byte scanned = data.get(scannedBytes);
      scannedBytes++;
      if (scanner.isEnd(scanned)) {
        return removeScanned();
      }
    }
    if (data.size() >= MAX_LINE) {
      throw new MalformedMessageException(
          StatusCode.BAD_GATEWAY, "object or line over " + MAX_LINE + " bytes");
    }
    return null;
  }

  private boolean readHead() throws MalformedMessageException {
    String[] lines = received.pollHead();
    if (lines == null) {
      return false;
    }
    int status = ResponseDecoder.parseStatus(lines[0]);
    if (status != StatusCode.OK) {
      throw new MalformedMessageException(
          status, "expected status " + StatusCode.OK + ", got " + status);
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
    byte[] line = data.removeFirst(scannedBytes);
    scannedBytes = 0;
    return new String(line, StandardCharsets.UTF_8).strip();
  }
}
