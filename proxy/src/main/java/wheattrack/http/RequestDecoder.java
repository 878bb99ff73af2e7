package wheattrack.http;

import java.util.Set;

/** Decodes requests, as a server receives them. Runs on the event loop's thread only. */
public final class RequestDecoder extends Decoder<Request> {
  private static final String METHOD_LIST = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";
  private static final Set<String> METHODS = Set.of(METHOD_LIST.split(", "));

  /** How many bytes of a long body are decoded before the request is returned. */
  private static final int MIN_BYTES_OF_LONG_BODY = MAX_BUFFERED_BODY / 4;

  private String method;
  private String target;
  private Headers headers;
  private boolean keepAlive;
  private boolean acceptsChunks;
  private boolean expectsContinue;

  /** Creates a decoder with the default limit on bodies. */
  public RequestDecoder() {
    this(DEFAULT_MAX_BODY);
  }

  /**
   * Creates a decoder.
   *
   * @param maxBody the size, in bytes, of the longest body that is accepted
   */
  public RequestDecoder(long maxBody) {
    super(maxBody);
  }

  /** More than one byte, so that the buffered start of a long request can be resent on a retry. */
  @Override
  protected int minBytesOfLongBody() {
    return MIN_BYTES_OF_LONG_BODY;
  }

  @Override
  protected BodyFraming readHead(String requestLine, Headers requestHeaders)
      throws MalformedMessageException {
    String[] parts = requestLine.split(" ", -1);
    if (parts.length != 3 || !ReceiveBuffer.isToken(parts[0]) || !isTarget(parts[1])) {
      throw new MalformedMessageException(
          StatusCode.BAD_REQUEST, "request line: expected METHOD /TARGET VERSION");
    }
    String version = parts[2];
    checkVersion(version);
    if (!METHODS.contains(parts[0])) {
      throw new MalformedMessageException(
          StatusCode.METHOD_NOT_ALLOWED, "method: expected one of " + METHOD_LIST);
    }
    method = parts[0];
    target = parts[1];
    headers = requestHeaders;
    keepAlive = keepsAlive(version, requestHeaders);
    acceptsChunks = version.equals(HTTP_1_1);
    expectsContinue = requestHeaders.containsToken("Expect", "100-continue");
    if (requestHeaders.isChunked()) {
      return BodyFraming.CHUNKED;
    }
    return BodyFraming.fixedLength(Math.max(0, requestHeaders.contentLength()));
  }

  private static boolean isTarget(String text) {
    return text.startsWith("/") && text.chars().allMatch(c -> c > ' ' && c != ReceiveBuffer.DELETE);
  }

  /**
   * Whether the client waits for an interim response before it sends the body. Returns true at most
   * once per request.
   */
  public boolean expectsContinue() {
    boolean isExpected = expectsContinue;
    expectsContinue = false;
    return isExpected;
  }

  @Override
  protected Request message(byte[] body, BodyFraming remainingBody) {
    expectsContinue &= !remainingBody.isEmpty();
    Request request =
        new Request(method, target, headers, keepAlive, body, remainingBody, acceptsChunks);
    target = null; // an idle connection holds no memory of its last request
    headers = null;
    return request;
  }
}
