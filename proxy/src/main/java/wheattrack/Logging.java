package wheattrack;

import java.util.logging.LogManager;

/**
 * The log manager of the process, which logs up to its very end: the exit does not reset the
 * handlers.
 */
public final class Logging extends LogManager {
  /** Does nothing: the JVM calls it at the exit, beside the drain that still has lines to log. */
  @Override
  public void reset() {
    // see above
  }
}
