package wheattrack.http;

/**
 * One request.
 *
 * @param method the method, in upper case
 * @param target the path and query; starts with a slash
 * @param headers all headers; in a received request, including those of the framing
 * @param keepAlive whether the connection may carry further requests after this one
 * @param body the body, or the part of it that is sent with the head
 * @param remainingBody the framing of the part of the body that follows; {@link BodyFraming#EMPTY}
 *     if none follows
 * @param acceptsChunks whether the client understands chunked responses
 */
public record Request(
    String method,
    String target,
    Headers headers,
    boolean keepAlive,
    byte[] body,
    BodyFraming remainingBody,
    boolean acceptsChunks) {
  /** A request with its complete body, whose client understands chunked responses. */
  public Request(String method, String target, Headers headers, boolean keepAlive, byte[] body) {
    this(method, target, headers, keepAlive, body, BodyFraming.EMPTY, true);
  }

  /** The memory that this request takes, in bytes; estimated. */
  public long heldBytes() {
    return target.length() + headers.heldBytes() + body.length;
  }

  /** This request without its headers and the bytes of its body, which need no memory then. */
  public Request withoutContent() {
    return new Request(
        method, "", new Headers(), keepAlive, new byte[0], remainingBody, acceptsChunks);
  }
}
