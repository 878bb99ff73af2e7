package wheattrack.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Reads and writes HTTP messages as text on sockets, for the clients and backends of tests. */
final class RawHttp {
  private static final AtomicInteger LAST_REQUEST_ID = new AtomicInteger();
  private static final String HEAD_END = "\r\n\r\n";
  private static final String CONTENT_LENGTH = "content-length: ";

  private RawHttp() {}

  /** Reads a head including its empty line; null if the connection ends before. */
  static String readHead(InputStream input) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int matched = 0; // characters of the end that were read last
    for (int next = input.read(); next >= 0; next = input.read()) {
      head.write(next);
      boolean isNextOfEnd = next == HEAD_END.charAt(matched);
      matched = isNextOfEnd ? matched + 1 : next == '\r' ? 1 : 0;
      if (matched == HEAD_END.length()) {
        return head.toString(StandardCharsets.ISO_8859_1);
      }
    }
    return null;
  }

  /** The length of the body after this head; 0 if it has none. */
  static int contentLength(String head) {
    int start = head.toLowerCase().indexOf(CONTENT_LENGTH);
    if (start < 0) {
      return 0;
    }
    int end = head.indexOf("\r\n", start);
    return Integer.parseInt(head.substring(start + CONTENT_LENGTH.length(), end));
  }

  /** The id of the request with this head. */
  static String requestId(String head) {
    return head.replaceAll("(?s).*Request-Id: (\\w+).*", "$1");
  }

  /** Sends this text, one byte per character (ISO 8859-1). */
  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Sends one chunk of a chunked body. */
  static void sendChunk(Socket socket, String text) throws IOException {
    send(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  /** Creates a request of this class with a new request id. */
  static String request(String className) {
    return "POST /"
        + className
        + " HTTP/1.1\r\nRequest-Id: "
        + LAST_REQUEST_ID.incrementAndGet()
        + "\r\nRequest-Class: "
        + className
        + "\r\nWork-Hint: 5000\r\nContent-Length: 2\r\n\r\nhi";
  }

  /**
   * Reads an answer and returns its status, " wait" if it has a Retry-After header, its body, and "
   * close" if it announces that the connection is closed; only "closed" if there is no answer.
   */
  static String readAnswer(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    String head = readHead(input);
    if (head == null) {
      return "closed";
    }
    byte[] body = input.readNBytes(contentLength(head));
    String retryAfter = head.contains("Retry-After: ") ? " wait" : "";
    String text = new String(body, StandardCharsets.ISO_8859_1).strip();
    String close = head.contains("Connection: close") ? " close" : "";
    return (head.substring(9, 12) + retryAfter + " " + text + close).strip();
  }
}
