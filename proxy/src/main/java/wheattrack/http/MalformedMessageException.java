package wheattrack.http;

/** Bytes that are no message we take; status is what a client is told. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1;

  public final int status;

  MalformedMessageException(int status, String fault) {
    super(fault);
    this.status = status;
  }
}
