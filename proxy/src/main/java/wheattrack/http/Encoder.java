package wheattrack.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes messages, each with the framing that its body needs. */
public final class Encoder {
  private static final int USUAL_REQUEST_HEAD = 256;
  private static final int USUAL_RESPONSE_HEAD = 128;

  private Encoder() {}

  /** Encodes a request with as much of its body as it holds. */
  public static ByteBuffer request(Request request) {
    StringBuilder head = new StringBuilder(USUAL_REQUEST_HEAD);
    head.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1\r\n");
    boolean mayLackBody = request.method().equals("GET") || request.method().equals("HEAD");
    boolean hasLength = request.body().length > 0 || !mayLackBody;
    return message(
        head,
        request.headers(),
        request.keepAlive(),
        request.body(),
        request.remainingBody(),
        hasLength);
  }

  /** Encodes a response with as much of its body as it holds. */
  public static ByteBuffer response(Response response) {
    StringBuilder head = new StringBuilder(USUAL_RESPONSE_HEAD);
    head.append("HTTP/1.1 ")
        .append(response.status())
        .append(' ')
        .append(reason(response.status()))
        .append("\r\n");
    boolean hasLength = !response.remainingBody().isNone();
    return message(
        head,
        response.headers(),
        response.keepAlive(),
        response.body(),
        response.remainingBody(),
        hasLength);
  }

  /** Encodes the interim response that asks the client to send its body. */
  public static ByteBuffer continueResponse() {
    return ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Encodes a part of a chunked body, which may be empty, and its end if this is the last part. */
  public static ByteBuffer chunk(ByteBuffer part, boolean isLast) {
    int size = part.remaining();
    String prefix = size > 0 ? Integer.toHexString(size) + "\r\n" : "";
    String suffix = (size > 0 ? "\r\n" : "") + (isLast ? "0\r\n\r\n" : "");
    return ByteBuffer.allocate(prefix.length() + size + suffix.length())
        .put(prefix.getBytes(StandardCharsets.ISO_8859_1))
        .put(part)
        .put(suffix.getBytes(StandardCharsets.ISO_8859_1))
        .flip();
  }

  /** Appends headers and framing to the first line in {@code head}, and the body to these. */
  private static ByteBuffer message(
      StringBuilder head,
      Headers headers,
      boolean keepAlive,
      byte[] body,
      BodyFraming remainingBody,
      boolean hasLength) {
    for (int i = 0; i < headers.size(); i++) {
      head.append(headers.name(i)).append(": ").append(headers.value(i)).append("\r\n");
    }
    if (remainingBody.isChunked()) {
      head.append("Transfer-Encoding: chunked\r\n");
    } else if (hasLength && !remainingBody.isUntilClose()) {
      long length = body.length + remainingBody.length();
      head.append("Content-Length: ").append(length).append("\r\n");
    }
    if (!keepAlive) {
      head.append("Connection: close\r\n");
    }
    byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer bodyBytes = ByteBuffer.wrap(body);
    ByteBuffer content = remainingBody.isChunked() ? chunk(bodyBytes, false) : bodyBytes;
    return ByteBuffer.allocate(headBytes.length + content.remaining())
        .put(headBytes)
        .put(content)
        .flip();
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
