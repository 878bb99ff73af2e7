package wheattrack.lab.scale;

/** The run needed more memory or processes than it may have, and was ended. */
public final class ResourceLimitException extends RuntimeException {
  private static final long serialVersionUID = 1;

  ResourceLimitException(String message) {
    super(message);
  }
}
