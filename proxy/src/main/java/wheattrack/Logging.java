package wheattrack;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import wheattrack.config.OperatorConfig;
import wheattrack.log.EventLog;
import wheattrack.log.JsonLineFormatter;
import wheattrack.log.PlainLineFormatter;
import wheattrack.log.RateLimitFilter;

/**
 * Logs by java.util.logging, a line each on standard error, to the end: the exit resets no handler.
 */
public final class Logging extends LogManager {
  /** To be called once java.util.logging.manager names this class, before any logger is. */
  static void open(OperatorConfig.LogSettings log) {
    System.setProperty(
        "java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
    Logger root = Logger.getLogger("");
    for (Handler old : root.getHandlers()) {
      root.removeHandler(old);
    }
    Handler console = new ConsoleHandler();
    console.setFormatter(log.json() ? new JsonLineFormatter() : new PlainLineFormatter());
    if (log.linesPerSecond() > 0) {
      console.setFilter(new RateLimitFilter(log.linesPerSecond()));
    }
    if (log.requests()) {
      console.setLevel(Level.FINE);
      EventLog.enableDetails();
    }
    root.addHandler(console);
  }

  @Override
  public void reset() {
    // the exit runs this beside the drain, whose lines are still to come
  }
}
