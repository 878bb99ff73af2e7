package wheattrack.config;

/** A configuration that cannot be used; the message names the faulty key. */
public final class InvalidConfigurationException extends RuntimeException {
  private static final long serialVersionUID = 1;

  public InvalidConfigurationException(String key, String fault) {
    super(key + ": " + fault);
  }
}
