package independent;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reading of HTTP/1.1 messages. */
final class Wire {
  private Wire() {}

  /** The next head with its first line, without the empty line; null at the end of the stream. */
  static String readHead(InputStream input) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int last = 0;
    for (int c = input.read(); c >= 0; c = input.read()) {
      head.write(c);
      last = (last << 8) | c;
      if (last == 0x0d0a0d0a) {
        return head.toString(StandardCharsets.ISO_8859_1).trim();
      }
    }
    if (head.size() > 0) {
      throw new EOFException("within a head");
    }
    return null;
  }

  static String header(String head, String name, String otherwise) {
    for (String line : head.split("\r\n")) {
      int colon = line.indexOf(':');
      if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
        return line.substring(colon + 1).trim();
      }
    }
    return otherwise;
  }

  static String readBody(InputStream input, String head) throws IOException {
    if (header(head, "Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
      return readChunks(input);
    }
    String length = header(head, "Content-Length", null);
    byte[] body = length == null ? readToEnd(input, head) : input.readNBytes(Integer.parseInt(length));
    if (length != null && body.length < Integer.parseInt(length)) {
      throw new EOFException("body of " + body.length + " of " + length + " bytes");
    }
    return new String(body, StandardCharsets.ISO_8859_1);
  }

  private static byte[] readToEnd(InputStream input, String head) throws IOException {
    return head.startsWith("HTTP/") ? input.readAllBytes() : new byte[0];
  }

  private static String readChunks(InputStream input) throws IOException {
    StringBuilder body = new StringBuilder();
    while (true) {
      int size = Integer.parseInt(readLine(input).split(";")[0].trim(), 16);
      byte[] chunk = input.readNBytes(size);
      if (chunk.length < size) {
        throw new EOFException("within a chunk");
      }
      body.append(new String(chunk, StandardCharsets.ISO_8859_1));
      readLine(input);
      if (size == 0) {
        return body.toString();
      }
    }
  }

  private static String readLine(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = input.read(); c != '\n'; c = input.read()) {
      if (c < 0) {
        throw new EOFException("within a line");
      }
      line.append((char) c);
    }
    return line.toString().trim();
  }
}
