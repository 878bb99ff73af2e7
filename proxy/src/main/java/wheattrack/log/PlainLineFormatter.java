package wheattrack.log;

import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/**
 * Formats a log line as text, with the number of lines of the same event that were suppressed
 * before it. Thread-safe.
 */
public final class PlainLineFormatter extends SimpleFormatter {
  @Override
  public synchronized String format(LogRecord line) {
    int suppressed = RateLimitFilter.suppressedBefore(line);
    String text = super.format(line);
    return suppressed == 0
        ? text
        : text.stripTrailing() + " (" + suppressed + " like it left out)\n";
  }
}
