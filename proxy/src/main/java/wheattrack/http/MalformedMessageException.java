package wheattrack.http;

/** Thrown if received bytes are not a valid HTTP message, or one that is not accepted. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1;

  private final int status;

  /**
   * Creates the exception.
   *
   * @param status the HTTP status code with which a server responds to such bytes
   * @param message one line for the peer and the log: what was expected and what was received
   */
  MalformedMessageException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** The HTTP status code with which a server responds to such bytes. */
  public int status() {
    return status;
  }
}
