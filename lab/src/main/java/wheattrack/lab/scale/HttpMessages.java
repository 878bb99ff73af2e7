package wheattrack.lab.scale;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/** The part of HTTP/1.1 that the measurements read and write themselves. */
final class HttpMessages {
  /** The line break and empty line that end the head of a message. */
  static final String END_OF_HEAD = "\r\n\r\n";

  private static final String CONTENT_LENGTH = "content-length: ";

  private HttpMessages() {}

  /** Reads the head of the next message with its empty line; null at the end of the stream. */
  static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int next = in.read(); next >= 0; next = in.read()) {
      head.append((char) next);
      if (next == '\n' && head.toString().endsWith(END_OF_HEAD)) {
        return head.toString();
      }
    }
    return null;
  }

  /** Encodes an ASCII text as one chunk of a chunked body. */
  static byte[] chunk(String text) {
    byte[] body = text.getBytes(StandardCharsets.US_ASCII);
    byte[] size = (Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    byte[] chunk = Arrays.copyOf(size, size.length + body.length + 2);
    System.arraycopy(body, 0, chunk, size.length, body.length);
    chunk[chunk.length - 2] = '\r';
    chunk[chunk.length - 1] = '\n';
    return chunk;
  }

  /** The value of the Content-Length header in this head; 0 if the header is missing. */
  static int contentLength(String head) {
    String lowerCase = head.toLowerCase(Locale.ROOT);
    int start = lowerCase.indexOf(CONTENT_LENGTH);
    if (start < 0) {
      return 0;
    }
    int end = lowerCase.indexOf("\r\n", start);
    return Integer.parseInt(lowerCase.substring(start + CONTENT_LENGTH.length(), end));
  }
}
