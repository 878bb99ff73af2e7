package wheattrack.net.client;

import wheattrack.aio.EventLoop;
import wheattrack.log.EventLog;

/**
 * Logs requests and connections that are rejected, at most one line a second, as malformed input
 * may be received at a high rate. Runs on the event loop's thread only.
 */
final class ClientErrorLog {
  /** The shortest time between two lines, in tenths of a millisecond. */
  private static final long MIN_LOG_INTERVAL = 10_000;

  private final EventLoop loop;
  private long lastLoggedAt;
  private long suppressedLines;

  ClientErrorLog(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Logs the event, or only counts it if the last line is too recent; the next line tells how many
   * events were not logged.
   */
  void log(String event, String cause) {
    if (loop.now() - lastLoggedAt < MIN_LOG_INTERVAL) {
      suppressedLines++;
      return;
    }
    String suppressed = suppressedLines > 0 ? ", and " + suppressedLines + " more like it" : "";
    EventLog.info(event, null, cause + suppressed);
    lastLoggedAt = loop.now();
    suppressedLines = 0;
  }
}
