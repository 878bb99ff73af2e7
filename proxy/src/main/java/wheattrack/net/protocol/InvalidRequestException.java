package wheattrack.net.protocol;

/**
 * Thrown for a request that cannot be accepted; its message is the text of the response to the
 * client.
 */
public final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1;

  private final int status;

  /**
   * Creates the exception.
   *
   * @param status the HTTP status of the response
   * @param message the text of the response
   */
  public InvalidRequestException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** The HTTP status of the response to the client. */
  public int status() {
    return status;
  }
}
