package wheattrack.log;

import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/** Formats a log line as text, with how many like it were left out before it. */
public final class PlainLineFormatter extends SimpleFormatter {
  @Override
  public synchronized String format(LogRecord line) {
    int leftOut = RateLimitFilter.leftOutBefore(line);
    String text = super.format(line);
    return leftOut == 0 ? text : text.stripTrailing() + " (" + leftOut + " like it left out)\n";
  }
}
