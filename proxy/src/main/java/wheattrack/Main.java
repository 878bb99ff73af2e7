package wheattrack;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.MigrateCommand;
import wheattrack.config.OperatorConfig;
import wheattrack.config.ProxyConfig;
import wheattrack.net.ClassArchiveTraining;
import wheattrack.net.ProxyServer;
import wheattrack.simulator.InvalidInputException;
import wheattrack.simulator.SimulatorAdapter;

/** The command line. */
public final class Main {
  private static final String USAGE =
      """
usage: wheattrack COMMAND [--config FILE] [--operator FILE]
  serve    one proxy on sockets, as the configuration says (or $GW_CONFIG)
  rehearse starts one on a free port before a list and backends of its own, and ends it in order
  check    reads the configuration, the operators' file or both and says whether they can be used;
           with --print-defaults it prints the operators' file with all defaults
  migrate  writes a configuration's counterpart for a proxy beside each client process (--help)
  drill    decides for a simulator on standard input and output
  version  prints the version
  help     prints this""";

  private Main() {}

  public static void main(String[] args) throws IOException {
    System.exit(run(args));
  }

  private static int run(String[] args) throws IOException {
    if (args.length > 0 && args[0].equals("migrate")) {
      return MigrateCommand.run(Arrays.copyOfRange(args, 1, args.length), System.out, System.err);
    }
    CommandLine line;
    try {
      line =
          new DefaultParser()
              .parse(
                  new Options()
                      .addOption("c", "config", true, "")
                      .addOption("o", "operator", true, "")
                      .addOption(null, "print-defaults", false, "")
                      .addOption("h", "help", false, ""),
                  args);
    } catch (ParseException e) {
      return fault("wheattrack: " + e.getMessage());
    }
    if (line.hasOption("help")) {
      System.out.println(USAGE);
      return 0;
    }
    if (line.getArgs().length != 1) {
      return fault(USAGE);
    }
    try {
      switch (line.getArgs()[0]) {
        case "serve" -> {
          Path own = line.hasOption("operator") ? Path.of(line.getOptionValue("operator")) : null;
          serve(file(line), own, own == null ? null : OperatorConfig.read(own));
        }
        case "rehearse" -> rehearse(file(line));
        case "check" -> check(line);
        case "drill" -> drill();
        case "version" ->
            System.out.println("wheattrack " + Main.class.getPackage().getImplementationVersion());
        case "help" -> System.out.println(USAGE);
        default -> {
          return fault(USAGE);
        }
      }
      return 0;
    } catch (InvalidConfigurationException | InvalidInputException e) {
      return fault("wheattrack " + line.getArgs()[0] + ": " + e.getMessage());
    }
  }

  private static int fault(String text) {
    System.err.println(text);
    return 2;
  }

  private static Path file(CommandLine line) {
    String file = line.getOptionValue("config", System.getenv("GW_CONFIG"));
    if (file == null) {
      throw new InvalidConfigurationException("--config", "missing, and GW_CONFIG is not set");
    }
    return Path.of(file);
  }

  private static void check(CommandLine line) {
    if (line.hasOption("print-defaults")) {
      System.out.print(OperatorConfig.DEFAULTS);
      return;
    }
    if (line.hasOption("operator")) {
      String operator = line.getOptionValue("operator");
      OperatorConfig.read(Path.of(operator));
      System.out.println("good: " + operator);
    }
    if (line.hasOption("config") || !line.hasOption("operator")) {
      System.out.println("good: " + ProxyConfig.read(file(line)).name);
    }
  }

  private static void log(OperatorConfig.LogSettings log) {
    System.setProperty("java.util.logging.manager", Logging.class.getName());
    Logging.open(log);
  }

  /** own: what the operators' file says, null where there is none. */
  private static void serve(Path file, Path operator, OperatorConfig own) throws IOException {
    ProxyConfig config = ProxyConfig.read(file);
    log(own == null ? OperatorConfig.plainLog() : own.log);
    ProxyServer server;
    try {
      server =
          own == null
              ? new ProxyServer(config)
              : new ProxyServer(config, own.loadHeader, own.settingsSource, own.scope);
    } catch (IOException e) {
      throw new InvalidConfigurationException(
          "listen", config.listen + " can't be had: " + e.getMessage());
    }
    Signals.onHangup(
        () -> {
          server.reread(file);
          if (own != null && own.settingsSource != null) {
            resubscribe(server, operator);
          }
        });
    Thread end = new Thread(server::end, "end");
    Runtime.getRuntime().addShutdownHook(end);
    server.run();
    Runtime.getRuntime().halt(0);
  }

  private static void resubscribe(ProxyServer server, Path operator) {
    try {
      OperatorConfig next = OperatorConfig.read(operator);
      server.resubscribe(next.settingsSource, next.scope);
    } catch (InvalidConfigurationException e) {
      java.util.logging.Logger.getLogger("wheattrack")
          .warning("operators' file kept as it was: " + e.getMessage());
    }
  }

  /**
   * For the build, whose JVM keeps the classes that a start needs: restarts took 1.9 s of half a
   * core.
   */
  private static void rehearse(Path file) throws IOException {
    log(OperatorConfig.plainLog());
    ClassArchiveTraining.run(file);
  }

  private static void drill() throws IOException {
    try (var out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
      new SimulatorAdapter(System.in, out).run();
    }
  }
}
