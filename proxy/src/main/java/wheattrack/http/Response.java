package wheattrack.http;

import java.nio.charset.StandardCharsets;

/**
 * One response.
 *
 * @param status the status code
 * @param headers all headers; in a received response, including those of the framing
 * @param keepAlive whether the connection may carry further requests after this response
 * @param body the body, or the part of it that is sent with the head
 * @param remainingBody the framing of the part of the body that follows; {@link BodyFraming#EMPTY}
 *     if none follows, {@link BodyFraming#NONE} in a response to HEAD
 */
public record Response(
    int status, Headers headers, boolean keepAlive, byte[] body, BodyFraming remainingBody) {
  /** A response with its complete body. */
  public Response(int status, Headers headers, boolean keepAlive, byte[] body) {
    this(status, headers, keepAlive, body, BodyFraming.EMPTY);
  }

  /** A response of plain text, to which a line feed is added unless it ends in one. */
  public static Response text(int status, String text, boolean keepAlive) {
    byte[] body = (text.endsWith("\n") ? text : text + "\n").getBytes(StandardCharsets.UTF_8);
    Headers headers = new Headers().with("Content-Type", "text/plain; charset=utf-8");
    return new Response(status, headers, keepAlive, body);
  }

  /**
   * This response as the response to a HEAD request: with the length of its body and without the
   * body. Also changes this response: the length is added to its headers.
   */
  public Response withoutBody() {
    if (remainingBody.isNone()) {
      return this;
    }
    Headers withLength = headers.with("Content-Length", Integer.toString(body.length));
    return new Response(status, withLength, keepAlive, new byte[0], BodyFraming.NONE);
  }

  /** This response as the last one on its connection. */
  public Response closingConnection() {
    return new Response(status, headers, false, body, remainingBody);
  }
}
