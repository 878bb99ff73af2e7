package wheattrack.http;

import java.util.Set;

/** Requests, as a server reads them. */
public final class RequestDecoder extends Decoder<Request> {
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

  private String method;
  private String target;
  private Headers headers;
  private boolean keep, chunks;
  private boolean expects;

  public RequestDecoder() {
    this(DEFAULT_MAX_BODY);
  }

  /** most: bytes of the longest body. */
  public RequestDecoder(long most) {
    super(most);
  }

  @Override
  protected int maxLineBytes() {
    return MAX_BUFFERED_BODY / 4; // from then on it is passed on, repeatable until more is
  }

  @Override
  protected long readHead(String line, Headers with) throws MalformedMessageException {
    String[] parts = line.split(" ", -1);
    if (parts.length != 3 || !ReceiveBuffer.isToken(parts[0]) || !isTarget(parts[1])) {
      throw new MalformedMessageException(400, "bad request line");
    }
    checkVersion(parts[2]);
    if (!METHODS.contains(parts[0])) {
      throw new MalformedMessageException(405, "method not taken");
    }
    method = parts[0];
    target = parts[1];
    headers = with;
    keep = keepsAlive(parts[2], with);
    chunks = parts[2].equals("HTTP/1.1");
    expects = with.containsToken("Expect", "100-continue");
    return with.chunked() ? CHUNKED : Math.max(0, with.length());
  }

  private static boolean isTarget(String word) {
    return word.startsWith("/") && word.chars().allMatch(c -> c > ' ' && c != 127);
  }

  /** Whether the client waits to be told that its body is wanted; says so once. */
  public boolean expectsContinue() {
    boolean was = expects;
    expects = false;
    return was;
  }

  @Override
  protected Request message(byte[] kept, long more) {
    expects &= more != 0;
    return new Request(method, target, headers, keep, kept, more, chunks);
  }
}
