package wheattrack;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import wheattrack.config.OperatorConfig;
import wheattrack.log.EventLog;
import wheattrack.log.JsonLineFormatter;
import wheattrack.log.PlainLineFormatter;
import wheattrack.log.RateLimitFilter;

/** Sets up java.util.logging for the process: one line for each record, on standard error. */
final class LoggingSetup {
  private static final String PLAIN_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

  private LoggingSetup() {}

  /**
   * Installs {@link Logging} and the handler. Must run before any class of java.util.logging is
   * initialized, {@link Logging} included, as the JVM chooses its log manager at that moment.
   */
  static void install(OperatorConfig.LogSettings settings) {
    System.setProperty("java.util.logging.manager", Logging.class.getName());
    System.setProperty("java.util.logging.SimpleFormatter.format", PLAIN_FORMAT);
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    Handler console = new ConsoleHandler();
    console.setFormatter(settings.isJson() ? new JsonLineFormatter() : new PlainLineFormatter());
    if (settings.maxLinesPerSecond() > 0) {
      console.setFilter(new RateLimitFilter(settings.maxLinesPerSecond()));
    }
    if (settings.logsRequests()) {
      console.setLevel(Level.FINE);
      EventLog.enableDetails();
    }
    root.addHandler(console);
  }
}
