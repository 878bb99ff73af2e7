package wheattrack.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Messages as bytes, each with its length. */
public final class Encoder {
  private Encoder() {}

  public static ByteBuffer request(Request r) {
    StringBuilder head = new StringBuilder(256);
    head.append(r.method()).append(' ').append(r.target()).append(" HTTP/1.1\r\n");
    boolean measured =
        r.body().length > 0 || !r.method().equals("GET") && !r.method().equals("HEAD");
    return message(head, r.headers(), r.keepAlive(), r.body(), r.remainingBody(), measured);
  }

  public static ByteBuffer response(Response r) {
    StringBuilder head = new StringBuilder(128);
    head.append("HTTP/1.1 ")
        .append(r.status())
        .append(' ')
        .append(reason(r.status()))
        .append("\r\n");
    return message(
        head,
        r.headers(),
        r.keepAlive(),
        r.body(),
        r.remainingBody(),
        r.remainingBody() != Response.NO_BODY);
  }

  /** The interim word that a body is wanted. */
  public static ByteBuffer continueResponse() {
    return ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
  }

  /** A piece of a body in chunks; last: nothing follows it. */
  public static ByteBuffer chunk(ByteBuffer piece, boolean last) {
    int size = piece.remaining();
    String before = size > 0 ? Integer.toHexString(size) + "\r\n" : "";
    String after = (size > 0 ? "\r\n" : "") + (last ? "0\r\n\r\n" : "");
    return ByteBuffer.allocate(before.length() + size + after.length())
        .put(before.getBytes(StandardCharsets.ISO_8859_1))
        .put(piece)
        .put(after.getBytes(StandardCharsets.ISO_8859_1))
        .flip();
  }

  private static ByteBuffer message(
      StringBuilder head, Headers headers, boolean keep, byte[] body, long more, boolean measured) {
    boolean chunked = more == Decoder.CHUNKED;
    for (int i = 0; i < headers.size(); i++) {
      head.append(headers.name(i)).append(": ").append(headers.value(i)).append("\r\n");
    }
    if (chunked) {
      head.append("Transfer-Encoding: chunked\r\n");
    } else if (measured && more != Decoder.UNTIL_CLOSE) {
      head.append("Content-Length: ").append(body.length + Math.max(0, more)).append("\r\n");
    }
    if (!keep) {
      head.append("Connection: close\r\n");
    }
    byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer first = chunked ? chunk(ByteBuffer.wrap(body), false) : ByteBuffer.wrap(body);
    return ByteBuffer.allocate(bytes.length + first.remaining()).put(bytes).put(first).flip();
  }

  private static String reason(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 409 -> "Conflict";
      case 413 -> "Content Too Large";
      case 429 -> "Too Many Requests";
      case 431 -> "Request Header Fields Too Large";
      case 502 -> "Bad Gateway";
      case 503 -> "Service Unavailable";
      case 504 -> "Gateway Timeout";
      default -> "Status " + status;
    };
  }
}
