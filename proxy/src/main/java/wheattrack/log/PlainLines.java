package wheattrack.log;

import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/** A log line as text, with how many like it were left out. */
public final class PlainLines extends SimpleFormatter {
  @Override
  public synchronized String format(LogRecord r) {
    int left = Limit.leftOut(r);
    String text = super.format(r);
    return left == 0 ? text : text.stripTrailing() + " (" + left + " like it left out)\n";
  }
}
