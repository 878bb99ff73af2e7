package wheattrack.log;

import java.util.HashMap;
import java.util.Map;
import java.util.logging.Filter;
import java.util.logging.LogRecord;

/**
 * Lets a limited number of lines of each event through per second. The next line that passes
 * carries the number of lines left out before it, for the formatters. Thread-safe.
 */
public final class RateLimitFilter implements Filter {
  /** The most events whose lines are counted at once; beyond it all counts are dropped. */
  private static final int MAX_EVENTS = 256;

  private static final int MILLIS_PER_SECOND = 1000;

  /** The lines of one event. */
  private static final class EventCount {
    private long second; // since 1970
    private int passedInSecond;
    private int leftOut; // since the last line that passed
  }

  /** The parameter of a line that stands for others that were left out before it. */
  private record LeftOut(int count) {
    /** The text that a placeholder in the message would show. */
    @Override
    public String toString() {
      return "left out " + count;
    }
  }

  private final int maxLinesPerSecond;
  private final Map<String, EventCount> counts = new HashMap<>();

  /** Creates a filter for so many lines of each event per second, or 0 to let all through. */
  public RateLimitFilter(int maxLinesPerSecond) {
    this.maxLinesPerSecond = maxLinesPerSecond;
  }

  @Override
  public synchronized boolean isLoggable(LogRecord line) {
    if (maxLinesPerSecond == 0) {
      return true;
    }
    if (counts.size() >= MAX_EVENTS) {
      counts.clear();
    }
    EventCount count = counts.computeIfAbsent(eventOf(line), key -> new EventCount());
    long second = line.getMillis() / MILLIS_PER_SECOND;
    if (second != count.second) {
      count.second = second;
      count.passedInSecond = 0;
    }
    if (count.passedInSecond >= maxLinesPerSecond) {
      count.leftOut++;
      return false;
    }
    count.passedInSecond++;
    if (count.leftOut > 0) {
      line.setParameters(new Object[] {new LeftOut(count.leftOut)});
      count.leftOut = 0;
    }
    return true;
  }

  private static String eventOf(LogRecord line) {
    return line instanceof EventLog event ? event.event() : line.getMessage();
  }

  /** How many lines like this one were left out before it. */
  static int leftOutBefore(LogRecord line) {
    Object[] parameters = line.getParameters();
    boolean isMarked =
        parameters != null && parameters.length == 1 && parameters[0] instanceof LeftOut;
    return isMarked ? ((LeftOut) parameters[0]).count() : 0;
  }
}
