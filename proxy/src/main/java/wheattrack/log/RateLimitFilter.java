package wheattrack.log;

import java.util.HashMap;
import java.util.Map;
import java.util.logging.Filter;
import java.util.logging.LogRecord;

/**
 * Passes a limited number of lines of each event per second and suppresses the others. The next
 * line that passes carries the number of lines suppressed before it, for the formatters.
 * Thread-safe.
 */
public final class RateLimitFilter implements Filter {
  /** The most events whose lines are counted; before one more is added, all counts are dropped. */
  private static final int MAX_EVENTS = 256;

  private static final int MILLIS_PER_SECOND = 1000;

  /** The lines of one event. */
  private static final class EventCount {
    private long second; // since 1970
    private int passedInSecond;
    private int suppressed; // since the last line that passed
  }

  /** The parameter of a line that follows suppressed ones: their number. */
  private record SuppressedLines(int count) {
    /** The text that a placeholder in the message would show. */
    @Override
    public String toString() {
      return "left out " + count;
    }
  }

  private final int maxLinesPerSecond;
  private final Map<String, EventCount> counts = new HashMap<>();

  /**
   * Creates a filter.
   *
   * @param maxLinesPerSecond the most lines of each event that pass per second; 0 passes all lines
   */
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
      count.suppressed++;
      return false;
    }
    count.passedInSecond++;
    if (count.suppressed > 0) {
      line.setParameters(new Object[] {new SuppressedLines(count.suppressed)});
      count.suppressed = 0;
    }
    return true;
  }

  private static String eventOf(LogRecord line) {
    return line instanceof EventLog event ? event.event() : line.getMessage();
  }

  /** How many lines of the same event were suppressed before this one. */
  static int suppressedBefore(LogRecord line) {
    Object[] parameters = line.getParameters();
    boolean isMarked =
        parameters != null && parameters.length == 1 && parameters[0] instanceof SuppressedLines;
    return isMarked ? ((SuppressedLines) parameters[0]).count() : 0;
  }
}
