package wheattrack.log;

import java.util.HashMap;
import java.util.Map;
import java.util.logging.Filter;
import java.util.logging.LogRecord;

/** Lets so many lines of an event through in a second; the next one says how many were left out. */
public final class RateLimitFilter implements Filter {
  private static final int MOST_EVENTS = 256; // kept at once; beyond that all are forgotten
  private static final String LEFT = "left out ";

  private static final class Count {
    private long second;
    private int let, left;
  }

  private final int most;
  private final Map<String, Count> counts = new HashMap<>();

  /** most: lines a second, or 0 for all. */
  public RateLimitFilter(int most) {
    this.most = most;
  }

  @Override
  public synchronized boolean isLoggable(LogRecord r) {
    if (most == 0) {
      return true;
    }
    if (counts.size() >= MOST_EVENTS) {
      counts.clear();
    }
    Count c =
        counts.computeIfAbsent(
            r instanceof EventLog e ? e.event : r.getMessage(), k -> new Count());
    long second = r.getMillis() / 1000;
    if (second != c.second) {
      c.second = second;
      c.let = 0;
    }
    if (c.let >= most) {
      c.left++;
      return false;
    }
    c.let++;
    if (c.left > 0) {
      r.setParameters(new Object[] {LEFT + c.left});
      c.left = 0;
    }
    return true;
  }

  /** How many lines like this one were left out before it. */
  static int leftOut(LogRecord r) {
    Object[] said = r.getParameters();
    return said != null
            && said.length == 1
            && said[0] instanceof String text
            && text.startsWith(LEFT)
        ? Integer.parseInt(text.substring(LEFT.length()))
        : 0;
  }
}
