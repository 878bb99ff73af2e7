package wheattrack.aio;

/** An error outside of the steps of an event loop has ended it. */
public final class EventLoopFailedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  EventLoopFailedException(Throwable cause) {
    super("the event loop has failed", cause);
  }
}
