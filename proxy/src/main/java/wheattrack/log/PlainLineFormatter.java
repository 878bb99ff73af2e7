package wheattrack.log;

import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/** A log line as text, with how many like it were left out. */
public final class PlainLineFormatter extends SimpleFormatter {
  @Override
  public synchronized String format(LogRecord r) {
    int left = RateLimitFilter.leftOut(r);
    String text = super.format(r);
    return left == 0 ? text : text.stripTrailing() + " (" + left + " like it left out)\n";
  }
}
