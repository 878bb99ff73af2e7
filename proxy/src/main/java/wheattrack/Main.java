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
import wheattrack.config.ExitCode;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.MigrateCommand;
import wheattrack.config.OperatorConfig;
import wheattrack.config.ProxyConfig;
import wheattrack.net.ClassArchiveTraining;
import wheattrack.simulator.InvalidInputException;
import wheattrack.simulator.SimulatorAdapter;

/** The command line: runs the named command, and turns invalid input into an exit code. */
public final class Main {
  private static final String USAGE =
      """
usage: wheattrack COMMAND [--config FILE] [--operator FILE]
  serve    run a proxy with the configuration of --config, or of $GW_CONFIG
  rehearse start and stop a proxy with an endpoint list and backends of its own; the build uses it
           to archive the classes that a start loads
  check    validate the configuration, the operators' file or both;
           with --print-defaults, print an operators' file with all defaults
  migrate  convert a pool's configuration for one proxy per client process (migrate --help)
  drill    run the policy for a simulator on standard input and output
  version  print the version
  help     print this help""";

  private static final String CONFIG_VARIABLE = "GW_CONFIG";
  private static final int OUTPUT_BUFFER_BYTES = 1 << 16;

  private Main() {}

  /** Runs the command that the arguments name, and exits with its {@link ExitCode}. */
  public static void main(String[] args) throws IOException {
    System.exit(run(args).code());
  }

  private static ExitCode run(String[] args) throws IOException {
    if (args.length > 0 && args[0].equals("migrate")) {
      String[] migrateArgs = Arrays.copyOfRange(args, 1, args.length);
      return MigrateCommand.run(migrateArgs, System.out, System.err);
    }
    CommandLine commandLine;
    try {
      commandLine = new DefaultParser().parse(options(), args);
    } catch (ParseException e) {
      return badInput("wheattrack: " + e.getMessage());
    }
    if (commandLine.hasOption("help")) {
      return printUsage();
    }
    if (commandLine.getArgs().length != 1) {
      return badInput(USAGE);
    }
    String command = commandLine.getArgs()[0];
    try {
      return run(command, commandLine);
    } catch (InvalidConfigurationException | InvalidInputException e) {
      return badInput("wheattrack " + command + ": " + e.getMessage());
    }
  }

  private static Options options() {
    return new Options()
        .addOption("c", "config", true, "")
        .addOption("o", "operator", true, "")
        .addOption(null, "print-defaults", false, "")
        .addOption("h", "help", false, "");
  }

  private static ExitCode run(String command, CommandLine commandLine) throws IOException {
    return switch (command) {
      case "serve" -> serve(commandLine);
      case "rehearse" -> trainClassArchive(commandLine);
      case "check" -> check(commandLine);
      case "drill" -> simulate();
      case "version" -> printVersion();
      case "help" -> printUsage();
      default -> badInput(USAGE);
    };
  }

  private static ExitCode badInput(String message) {
    System.err.println(message);
    return ExitCode.BAD_INPUT;
  }

  private static ExitCode printUsage() {
    System.out.println(USAGE);
    return ExitCode.SUCCESS;
  }

  private static ExitCode printVersion() {
    System.out.println("wheattrack " + Main.class.getPackage().getImplementationVersion());
    return ExitCode.SUCCESS;
  }

  private static Path configFile(CommandLine commandLine) {
    String file = commandLine.getOptionValue("config", System.getenv(CONFIG_VARIABLE));
    if (file == null) {
      throw new InvalidConfigurationException(
          "--config", "missing, and " + CONFIG_VARIABLE + " is not set");
    }
    return Path.of(file);
  }

  private static ExitCode serve(CommandLine commandLine) throws IOException {
    Path operatorFile =
        commandLine.hasOption("operator") ? Path.of(commandLine.getOptionValue("operator")) : null;
    new ServeCommand(configFile(commandLine), operatorFile).run();
    return ExitCode.SUCCESS;
  }

  private static ExitCode check(CommandLine commandLine) {
    if (commandLine.hasOption("print-defaults")) {
      System.out.print(OperatorConfig.DEFAULTS);
      return ExitCode.SUCCESS;
    }
    if (commandLine.hasOption("operator")) {
      String operatorFile = commandLine.getOptionValue("operator");
      OperatorConfig.read(Path.of(operatorFile));
      System.out.println("good: " + operatorFile);
    }
    if (commandLine.hasOption("config") || !commandLine.hasOption("operator")) {
      System.out.println("good: " + ProxyConfig.read(configFile(commandLine)).name());
    }
    return ExitCode.SUCCESS;
  }

  /**
   * Runs a proxy for the build, whose JVM archives the classes that a start loads. Without the
   * archive, a restart took 1.9 s on half a core.
   */
  private static ExitCode trainClassArchive(CommandLine commandLine) throws IOException {
    Path configFile = configFile(commandLine);
    LoggingSetup.install(OperatorConfig.LogSettings.DEFAULTS);
    ClassArchiveTraining.run(configFile);
    return ExitCode.SUCCESS;
  }

  private static ExitCode simulate() throws IOException {
    FileOutputStream standardOutput = new FileOutputStream(FileDescriptor.out);
    try (var output = new BufferedOutputStream(standardOutput, OUTPUT_BUFFER_BYTES)) {
      new SimulatorAdapter(System.in, output).run();
    }
    return ExitCode.SUCCESS;
  }
}
