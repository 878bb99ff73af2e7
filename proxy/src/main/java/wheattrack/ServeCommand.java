package wheattrack;

import java.io.IOException;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.Logger;
import wheattrack.aio.EventLoopFailedException;
import wheattrack.config.ExitCode;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.OperatorConfig;
import wheattrack.config.ProxyConfig;
import wheattrack.net.ProxyServer;

/** The command {@code serve}: runs one proxy on sockets until the process is shut down. */
final class ServeCommand {
  private static final String SHUTDOWN_THREAD_NAME = "end";

  private final Path configFile;

  /** Null if there is no operators' file; {@link #operatorConfig} is null then too. */
  private final Path operatorFile;

  private final OperatorConfig operatorConfig;

  /**
   * Reads the operators' file.
   *
   * @param operatorFile the operators' file, or null
   * @throws InvalidConfigurationException if the operators' file can't be used
   */
  ServeCommand(Path configFile, Path operatorFile) {
    this.configFile = configFile;
    this.operatorFile = operatorFile;
    operatorConfig = operatorFile == null ? null : OperatorConfig.read(operatorFile);
  }

  /**
   * Serves. Does not return: the process halts when the proxy has completed its shutdown, or with
   * {@link ExitCode#INTERNAL_ERROR} when its event loop has failed.
   *
   * @throws InvalidConfigurationException if the configuration or its address can't be used
   */
  void run() throws IOException {
    ProxyConfig config = ProxyConfig.read(configFile);
    LoggingSetup.install(logSettings());
    ProxyServer server = openServer(config);
    Signals.onHangup(() -> reload(server));
    Runtime.getRuntime().addShutdownHook(new Thread(server::shutdown, SHUTDOWN_THREAD_NAME));
    // ExitCode is loaded now: after the shutdown, the time to load it could let the JVM exit first,
    // with the signal's code
    int exitCode = ExitCode.SUCCESS.code();
    try {
      server.run();
    } catch (EventLoopFailedException e) {
      endAfter(e);
    }
    Runtime.getRuntime().halt(exitCode);
  }

  private static void endAfter(EventLoopFailedException failure) {
    try {
      Logger.getLogger("wheattrack").log(Level.SEVERE, "the process ends", failure);
    } finally { // even without memory for the log line
      Runtime.getRuntime().halt(ExitCode.INTERNAL_ERROR.code());
    }
  }

  private OperatorConfig.LogSettings logSettings() {
    return operatorConfig == null ? OperatorConfig.LogSettings.DEFAULTS : operatorConfig.log();
  }

  private ProxyServer openServer(ProxyConfig config) {
    try {
      if (operatorConfig == null) {
        return new ProxyServer(config);
      }
      return new ProxyServer(
          config,
          operatorConfig.loadReportHeader(),
          operatorConfig.settingsSource(),
          operatorConfig.settingsScope());
    } catch (IOException e) {
      throw new InvalidConfigurationException(
          "listen", "cannot listen on " + config.listen() + ": " + e.getMessage());
    }
  }

  /** Reads both files again. Runs on the JVM's signal thread. */
  private void reload(ProxyServer server) {
    server.reload(configFile);
    if (operatorConfig != null && operatorConfig.settingsSource() != null) {
      resubscribe(server);
    }
  }

  /**
   * Obtains its logger only here: no logging class may be initialized before {@link LoggingSetup}.
   */
  private void resubscribe(ProxyServer server) {
    try {
      OperatorConfig next = OperatorConfig.read(operatorFile);
      server.resubscribe(next.settingsSource(), next.settingsScope());
    } catch (InvalidConfigurationException e) {
      Logger.getLogger("wheattrack").warning("operators' file kept as it was: " + e.getMessage());
    }
  }
}
