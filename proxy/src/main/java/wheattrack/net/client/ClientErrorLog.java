package wheattrack.net.client;

import wheattrack.aio.EventLoop;
import wheattrack.log.EventLog;

/**
 * Logs requests and connections that are rejected, at most one line a second: malformed input may
 * arrive in floods. Runs on the event loop's thread only.
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

  /** Logs the event, or only counts it; the next line gives the number of events without a line. */
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
