package wheattrack.http;

import java.util.regex.Pattern;

/**
 * Decodes responses, as a client receives them. A body without a length ends in order with its
 * connection. Runs on the event loop's thread only.
 */
public final class ResponseDecoder extends Decoder<Response> {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
  private static final int VERSION_END = "HTTP/1.1".length();
  private static final int STATUS_START = VERSION_END + 1;
  private static final int STATUS_END = STATUS_START + 3;

  private int status;
  private Headers headers;
  private boolean keepAlive;
  private boolean expectNoBody;

  /** Creates a decoder with the default limit on bodies. */
  public ResponseDecoder() {
    this(DEFAULT_MAX_BODY);
  }

  /** Creates a decoder that accepts bodies of up to so many bytes. */
  public ResponseDecoder(long maxBody) {
    super(maxBody);
  }

  /**
   * Says whether the next responses are to HEAD requests, which have no body whatever their headers
   * say.
   */
  public void expectNoBody(boolean isExpected) {
    expectNoBody = isExpected;
  }

  /** A long response is streamed from its first byte, whose time counts as its latency. */
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
    if (status < 200 || status == 204 || status == 304) {
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

  /** The status code on a status line. */
  static int parseStatus(String statusLine) throws MalformedMessageException {
    if (!STATUS_LINE.matcher(statusLine).matches()) {
      throw new MalformedMessageException(502, "bad status line");
    }
    return Integer.parseInt(statusLine.substring(STATUS_START, STATUS_END));
  }

  @Override
  protected Response message(byte[] body, BodyFraming remainingBody) {
    return new Response(status, headers, keepAlive, body, remainingBody);
  }
}
