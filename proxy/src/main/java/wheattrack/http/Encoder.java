package wheattrack.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/** Encodes messages, each with the framing that its body needs. */
public final class Encoder {
  /** The initial capacity, in characters, for the head of a request. */
  private static final int REQUEST_HEAD_CAPACITY = 256;

  /** The initial capacity, in characters, for the head of a response. */
  private static final int RESPONSE_HEAD_CAPACITY = 128;

  /** The methods whose requests usually have no body, so that an empty body needs no length. */
  private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");

  private static final String CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n";
  private static final String LINE_END = "\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private Encoder() {}

  /** Encodes a request with the part of the body that it holds. */
  public static ByteBuffer request(Request request) {
    StringBuilder head = new StringBuilder(REQUEST_HEAD_CAPACITY);
    head.append(request.method())
        .append(' ')
        .append(request.target())
        .append(' ')
        .append(Decoder.HTTP_1_1)
        .append(LINE_END);
    boolean hasLength =
        request.body().length > 0 || !METHODS_WITHOUT_BODY.contains(request.method());
    return message(
        head,
        request.headers(),
        request.keepAlive(),
        request.body(),
        request.remainingBody(),
        hasLength);
  }

  /** Encodes a response with the part of the body that it holds. */
  public static ByteBuffer response(Response response) {
    StringBuilder head = new StringBuilder(RESPONSE_HEAD_CAPACITY);
    head.append(Decoder.HTTP_1_1)
        .append(' ')
        .append(response.status())
        .append(' ')
        .append(StatusCode.reasonPhrase(response.status()))
        .append(LINE_END);
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
    return ByteBuffer.wrap(CONTINUE_RESPONSE.getBytes(StandardCharsets.ISO_8859_1));
  }

  /**
   * Encodes a part of a chunked body.
   *
   * @param part the bytes, which may be none
   * @param isLast whether the body ends with this part
   */
  public static ByteBuffer chunk(ByteBuffer part, boolean isLast) {
    int size = part.remaining();
    String prefix = size > 0 ? Integer.toHexString(size) + LINE_END : "";
    String suffix = (size > 0 ? LINE_END : "") + (isLast ? LAST_CHUNK : "");
    return ByteBuffer.allocate(prefix.length() + size + suffix.length())
        .put(prefix.getBytes(StandardCharsets.ISO_8859_1))
        .put(part)
        .put(suffix.getBytes(StandardCharsets.ISO_8859_1))
        .flip();
  }

  /**
   * Encodes a message.
   *
   * @param head the first line, to which the headers and those of the framing are appended
   * @param headers the headers without those of the framing
   * @param keepAlive whether the connection may carry further messages
   * @param body the body, or its start
   * @param remainingBody the framing of the part of the body that follows
   * @param hasLength whether a known length of the body is sent as Content-Length
   */
  private static ByteBuffer message(
      StringBuilder head,
      Headers headers,
      boolean keepAlive,
      byte[] body,
      BodyFraming remainingBody,
      boolean hasLength) {
    for (int i = 0; i < headers.size(); i++) {
      head.append(headers.name(i)).append(": ").append(headers.value(i)).append(LINE_END);
    }
    if (remainingBody.isChunked()) {
      head.append("Transfer-Encoding: chunked").append(LINE_END);
    } else if (hasLength && remainingBody.hasKnownLength()) {
      long length = body.length + remainingBody.length();
      head.append("Content-Length: ").append(length).append(LINE_END);
    }
    if (!keepAlive) {
      head.append("Connection: close").append(LINE_END);
    }
    byte[] headBytes = head.append(LINE_END).toString().getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer bodyBytes = ByteBuffer.wrap(body);
    ByteBuffer content = remainingBody.isChunked() ? chunk(bodyBytes, false) : bodyBytes;
    return ByteBuffer.allocate(headBytes.length + content.remaining())
        .put(headBytes)
        .put(content)
        .flip();
  }
}
