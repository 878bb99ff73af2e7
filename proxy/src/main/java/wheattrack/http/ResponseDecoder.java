package wheattrack.http;

import java.util.regex.Pattern;

/** Answers, as a client reads them; one without a length ends in order with its connection. */
public final class ResponseDecoder extends Decoder<Response> {
  private static final Pattern LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");

  private int status;
  private Headers headers;
  private boolean keep, expectNoBody;

  public ResponseDecoder() {
    this(DEFAULT_MAX_BODY);
  }

  /** most: bytes of the longest body. */
  public ResponseDecoder(long most) {
    super(most);
  }

  /** Whether the next answer is one to HEAD, which has no body whatever it says. */
  public void expectNoBody(boolean asked) {
    expectNoBody = asked;
  }

  @Override
  protected int maxLineBytes() {
    return 1; // a long answer is timed by its first bytes
  }

  @Override
  protected long readHead(String line, Headers with) throws MalformedMessageException {
    status = status(line);
    headers = with;
    keep = keepsAlive(line.substring(0, 8), with);
    long length = with.length();
    boolean chunked = with.chunked();
    if (status < 200 || status == 204 || status == 304 || expectNoBody) {
      return 0;
    }
    if (!chunked && length < 0) {
      keep = false;
      return UNTIL_CLOSE;
    }
    return chunked ? CHUNKED : length;
  }

  static int status(String line) throws MalformedMessageException {
    if (!LINE.matcher(line).matches()) {
      throw new MalformedMessageException(502, "bad status line");
    }
    return Integer.parseInt(line.substring(9, 12));
  }

  @Override
  protected Response message(byte[] kept, long more) {
    return new Response(status, headers, keep, kept, expectNoBody ? Response.NO_BODY : more);
  }
}
