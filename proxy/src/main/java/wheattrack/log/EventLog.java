package wheattrack.log;

import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * One line of the log in its parts: the event, the id of the request or endpoint concerned, and the
 * cause. Its plain text is "event id: cause". The static methods write such lines; any thread may
 * call them.
 */
public final class EventLog extends LogRecord {
  private static final long serialVersionUID = 1;
  private static final Logger LOG = Logger.getLogger("wheattrack");

  private final String event;
  private final String id;
  private final String cause;

  private EventLog(Level level, String event, String id, String cause) {
    super(level, event + (id == null ? "" : " " + id) + (cause == null ? "" : ": " + cause));
    this.event = event;
    this.id = id;
    this.cause = cause;
    setLoggerName(LOG.getName());
  }

  /** What happened. */
  String event() {
    return event;
  }

  /** The id of the request or endpoint concerned, or null. */
  String id() {
    return id;
  }

  /** Why it happened, or null. */
  String cause() {
    return cause;
  }

  /** Writes a line at this level; the id and the cause may be null. */
  public static void log(Level level, String event, String id, String cause) {
    if (LOG.isLoggable(level)) {
      LOG.log(new EventLog(level, event, id, cause));
    }
  }

  /** Enables lines about single requests and endpoints until the process exits. */
  public static void enableDetails() {
    LOG.setLevel(Level.FINE);
  }

  /**
   * Writes a line about a single request or endpoint if {@link #enableDetails} was called;
   * otherwise the cause is not computed.
   */
  public static void detail(String event, String id, Supplier<String> cause) {
    if (LOG.isLoggable(Level.FINE)) {
      log(Level.FINE, event, id, cause.get());
    }
  }

  /** Writes a line about a normal event; the id and the cause may be null. */
  public static void info(String event, String id, String cause) {
    log(Level.INFO, event, id, cause);
  }

  /** Writes a line about an event that an operator should look at; id and cause may be null. */
  public static void warning(String event, String id, String cause) {
    log(Level.WARNING, event, id, cause);
  }
}
