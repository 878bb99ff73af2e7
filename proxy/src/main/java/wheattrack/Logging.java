package wheattrack;

import java.util.logging.LogManager;

/**
 * The log manager of the process. It keeps its handlers when the JVM exits, so that the proxy can
 * log until its shutdown is complete.
 */
public final class Logging extends LogManager {
  /** Does nothing. The JVM calls it at its exit, while the proxy is draining and still logs. */
  @Override
  public void reset() {
    // the handlers stay
  }
}
