package wheattrack;

import java.io.IOException;
import java.nio.file.Path;
import java.util.logging.Logger;
import wheattrack.config.ExitCode;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.OperatorConfig;
import wheattrack.config.ProxyConfig;
import wheattrack.net.ProxyServer;

/** The command {@code serve}: one proxy on sockets, until the process is told to end. */
final class ServeCommand {
  private final Path configFile;

  /** Null if there is no operators' file; so is {@link #operatorConfig} then. */
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
   * Serves. Does not return: the process halts once the proxy has ended in order.
   *
   * @throws InvalidConfigurationException if the configuration or its address can't be used
   */
  void run() throws IOException {
    ProxyConfig config = ProxyConfig.read(configFile);
    LoggingSetup.install(
        operatorConfig == null ? OperatorConfig.LogSettings.DEFAULTS : operatorConfig.log());
    ProxyServer server = openServer(config);
    Signals.onHangup(() -> reload(server));
    Runtime.getRuntime().addShutdownHook(new Thread(server::shutdown, "end"));
    // loaded before the end: once it has come, the JVM's own exit with the signal's code is a step
    // away
    int exitCode = ExitCode.SUCCESS.code();
    server.run();
    Runtime.getRuntime().halt(exitCode);
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
          "listen", config.listen() + " can't be had: " + e.getMessage());
    }
  }

  /** Reads the files again. Runs on the signal's thread. */
  private void reload(ProxyServer server) {
    server.reload(configFile);
    if (operatorConfig != null && operatorConfig.settingsSource() != null) {
      resubscribe(server);
    }
  }

  private void resubscribe(ProxyServer server) {
    try {
      OperatorConfig next = OperatorConfig.read(operatorFile);
      server.resubscribe(next.settingsSource(), next.settingsScope());
    } catch (InvalidConfigurationException e) {
      Logger.getLogger("wheattrack").warning("operators' file kept as it was: " + e.getMessage());
    }
  }
}
