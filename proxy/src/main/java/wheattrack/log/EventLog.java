package wheattrack.log;

import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * A line of the log in its parts: what happened, to whom (or null) and why (or null). Its plain
 * text is "event id: cause". May be logged from any thread.
 */
public final class EventLog extends LogRecord {
  private static final long serialVersionUID = 1;
  private static final Logger LOG = Logger.getLogger("wheattrack");

  final String event, id, cause;

  private EventLog(Level level, String event, String id, String cause) {
    super(level, event + (id == null ? "" : " " + id) + (cause == null ? "" : ": " + cause));
    this.event = event;
    this.id = id;
    this.cause = cause;
    setLoggerName(LOG.getName());
  }

  public static void log(Level level, String event, String id, String cause) {
    if (LOG.isLoggable(level)) {
      LOG.log(new EventLog(level, event, id, cause));
    }
  }

  /** Lines of single reqs are written from now on. */
  public static void enableDetails() {
    LOG.setLevel(Level.FINE);
  }

  /** A line of a single req or of one entry of the list; of no cost unless they are switched on. */
  public static void detail(String event, String id, Supplier<String> cause) {
    if (LOG.isLoggable(Level.FINE)) {
      log(Level.FINE, event, id, cause.get());
    }
  }

  public static void info(String event, String id, String cause) {
    log(Level.INFO, event, id, cause);
  }

  public static void warning(String event, String id, String cause) {
    log(Level.WARNING, event, id, cause);
  }
}
