package wheattrack.config;

/**
 * A configuration that can't be used. The message names the key at fault. It is always one line:
 * each control character and line break in it is replaced by a question mark.
 */
public final class InvalidConfigurationException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * An error with the message {@code key: fault}.
   *
   * @param key the key, option or file at fault
   * @param fault what is wrong with it
   */
  public InvalidConfigurationException(String key, String fault) {
    super(OneLineText.of(key + ": " + fault));
  }
}
