package wheattrack.log;

import java.util.function.LongSupplier;

/**
 * Logs events that may occur at a high rate, such as the rejection of malformed input, at most one
 * line a second. Runs on the event loop's thread only.
 */
public final class ThrottledEventLog {
  /** The shortest time between two lines, in tenths of a millisecond. */
  private static final long MIN_LOG_INTERVAL = 10_000;

  private final LongSupplier clock;
  private long lastLoggedAt;
  private long suppressedLines;

  /**
   * Creates a log.
   *
   * @param clock the time, in tenths of a millisecond
   */
  public ThrottledEventLog(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Logs the event, or only counts it if the last line is too recent; the next line tells how many
   * events were not logged.
   */
  public void log(String event, String cause) {
    long now = clock.getAsLong();
    if (now - lastLoggedAt < MIN_LOG_INTERVAL) {
      suppressedLines++;
      return;
    }
    String suppressed = suppressedLines > 0 ? ", and " + suppressedLines + " more like it" : "";
    EventLog.info(event, null, cause + suppressed);
    lastLoggedAt = now;
    suppressedLines = 0;
  }
}
