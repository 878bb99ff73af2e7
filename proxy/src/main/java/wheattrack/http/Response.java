package wheattrack.http;

import java.nio.charset.StandardCharsets;

/**
 * One answer. keep: its connection may carry a further one. more: bytes of the body that are still
 * to come, 0 for none, or Decoder.CHUNKED or TILL_END; BARE for an answer that says its length and
 * has no body.
 */
public record Response(
    int status, Headers headers, boolean keepAlive, byte[] body, long remainingBody) {
  /** Of an answer to HEAD: its headers are as they are. */
  public static final long NO_BODY = -3;

  /** A whole one. */
  public Response(int status, Headers headers, boolean keep, byte[] body) {
    this(status, headers, keep, body, 0);
  }

  /** A line of our own. */
  public static Response text(int status, String text, boolean keep) {
    byte[] body = (text.endsWith("\n") ? text : text + "\n").getBytes(StandardCharsets.UTF_8);
    Headers headers = new Headers().with("Content-Type", "text/plain; charset=utf-8");
    return new Response(status, headers, keep, body);
  }

  /** The same to HEAD: with its length, and without its body. */
  public Response withoutBody() {
    return remainingBody == NO_BODY
        ? this
        : new Response(
            status,
            headers.with("Content-Length", Integer.toString(body.length)),
            keepAlive,
            new byte[0],
            NO_BODY);
  }

  /** The same, and the connection ends with it. */
  public Response closingConnection() {
    return new Response(status, headers, false, body, remainingBody);
  }
}
