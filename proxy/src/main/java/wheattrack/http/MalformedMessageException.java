package wheattrack.http;

/** Received bytes are no valid HTTP message, or one that is not accepted. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1;

  private final int status;

  MalformedMessageException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** The HTTP status code with which a server answers such bytes. */
  public int status() {
    return status;
  }
}
