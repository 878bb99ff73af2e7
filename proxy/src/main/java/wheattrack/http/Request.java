package wheattrack.http;

/**
 * One request. keep: its connection may carry a further one. more: bytes of the body that are still
 * to come, 0 for none, or Decoder.CHUNKED. chunks: who asked understands chunks.
 */
public record Request(
    String method,
    String target,
    Headers headers,
    boolean keepAlive,
    byte[] body,
    long remainingBody,
    boolean chunks) {
  /** A whole one. */
  public Request(String method, String target, Headers headers, boolean keep, byte[] body) {
    this(method, target, headers, keep, body, 0, true);
  }
}
