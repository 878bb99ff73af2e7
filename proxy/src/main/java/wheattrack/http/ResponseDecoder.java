package wheattrack.http;

import java.util.regex.Pattern;

/**
 * Decodes responses, as a client receives them. A body that is not chunked and has no length ends
 * when the sender closes its side of the connection. Runs on the event loop's thread only.
 */
public final class ResponseDecoder extends Decoder<Response> {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
  private static final int VERSION_END = HTTP_1_1.length();
  private static final int STATUS_DIGITS = 3;
  private static final int STATUS_START = VERSION_END + 1;
  private static final int STATUS_END = STATUS_START + STATUS_DIGITS;

  private int status;
  private Headers headers;
  private boolean keepAlive;
  private boolean expectNoBody;

  /** Creates a decoder with the default limit on bodies. */
  public ResponseDecoder() {
    this(DEFAULT_MAX_BODY);
  }

  /**
   * Creates a decoder.
   *
   * @param maxBody the size, in bytes, of the longest body that is accepted
   */
  public ResponseDecoder(long maxBody) {
    super(maxBody);
  }

  /**
   * Sets whether the next responses are to HEAD requests; they have no body, whatever length their
   * headers give.
   */
  public void expectNoBody(boolean isExpected) {
    expectNoBody = isExpected;
  }

  /** One byte, as the latency of a long response is measured up to the first byte of its body. */
  @Override
  protected int minBytesOfLongBody() {
    return 1;
  }

  @Override
  protected BodyFraming readHead(String statusLine, Headers responseHeaders)
      throws MalformedMessageException {
    status = parseStatus(statusLine);
    headers = responseHeaders;
    keepAlive = keepsAlive(statusLine.substring(0, VERSION_END), responseHeaders);
    long length = responseHeaders.contentLength();
    boolean isChunked = responseHeaders.isChunked();
    if (expectNoBody) {
      return BodyFraming.NONE;
    }
    if (StatusCode.hasNoBody(status)) {
      return BodyFraming.EMPTY;
    }
    if (isChunked) {
      return BodyFraming.CHUNKED;
    }
    if (length == Headers.NO_LENGTH) {
      keepAlive = false;
      return BodyFraming.UNTIL_CLOSE;
    }
    return BodyFraming.fixedLength(length);
  }

  /**
   * The status code on a status line.
   *
   * @throws MalformedMessageException if the line is not a status line
   */
  static int parseStatus(String statusLine) throws MalformedMessageException {
    if (!STATUS_LINE.matcher(statusLine).matches()) {
      throw new MalformedMessageException(
          StatusCode.BAD_GATEWAY, "status line: expected HTTP/1.1 or HTTP/1.0 and a status code");
    }
    return Integer.parseInt(statusLine.substring(STATUS_START, STATUS_END));
  }

  @Override
  protected Response message(byte[] body, BodyFraming remainingBody) {
    Response response = new Response(status, headers, keepAlive, body, remainingBody);
    headers = null; // an idle connection holds no memory of its last response
    return response;
  }
}
