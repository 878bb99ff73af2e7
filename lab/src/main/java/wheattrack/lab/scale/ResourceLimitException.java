package wheattrack.lab.scale;

/** Thrown when a run needs more memory or processes than it may have. */
public final class ResourceLimitException extends RuntimeException {
  private static final long serialVersionUID = 1;

  ResourceLimitException(String message) {
    super(message);
  }
}
