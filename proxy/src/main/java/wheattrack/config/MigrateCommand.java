package wheattrack.config;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The command {@code migrate}: turns the configuration of a pool of proxies into one for a proxy on
 * the machine of each client process.
 */
public final class MigrateCommand {
  private static final String USAGE =
      """
      usage: wheattrack migrate OLD (--out NEW | --dry-run) [...]
        OLD               the configuration of a pool of proxies; it is not changed
        --out NEW         the file to write; an existing file is never overwritten
        --dry-run         print the new configuration and write no file
        --balancers N     the number of proxies, one for each client process
        --me N            the index of this proxy, from 0
        --reports HOW     how backends report their load: none, answers or probe
        --place NAME      the only zone of the new configuration, one of the old zones
        --listen ADDRESS  the address where this proxy's client connects
      Each key that was removed or needs your attention is listed on standard error, one per line.
      exit codes: 0 migrated, or nothing to do; 1 migrated, with keys listed; 2 bad input""";

  private static final String[] VALUE_OPTIONS = {
    "out", "balancers", "me", "reports", "place", "listen"
  };

  private MigrateCommand() {}

  /**
   * Runs the command.
   *
   * @param args the arguments after the command's name
   * @param out where help and the result of a dry run are printed
   * @param err where errors, and what is left to the operator, are printed
   */
  public static ExitCode run(String[] args, PrintStream out, PrintStream err) {
    String filePrefix = "";
    try {
      CommandLine commandLine = new DefaultParser().parse(options(), args);
      if (commandLine.hasOption("help")) {
        out.println(USAGE);
        return ExitCode.SUCCESS;
      }
      String oldFile = checkArguments(commandLine);
      filePrefix = oldFile + ": ";
      return migrate(commandLine, Path.of(oldFile), out, err);
    } catch (ParseException e) {
      err.println("wheattrack migrate: " + e.getMessage());
    } catch (InvalidConfigurationException e) {
      String message = e.getMessage();
      String prefix = message.startsWith(filePrefix) ? "" : filePrefix;
      err.println("wheattrack migrate: " + prefix + message);
    }
    return ExitCode.BAD_INPUT;
  }

  private static Options options() {
    Options options =
        new Options().addOption("h", "help", false, "").addOption(null, "dry-run", false, "");
    for (String name : VALUE_OPTIONS) {
      options.addOption(null, name, true, "");
    }
    return options;
  }

  /**
   * The old configuration's file; checks that the arguments name one file and one kind of output.
   */
  private static String checkArguments(CommandLine commandLine) {
    String[] files = commandLine.getArgs();
    if (files.length != 1) {
      throw new InvalidConfigurationException(
          "OLD", "expected one file, got " + (files.length == 0 ? "none" : files.length));
    }
    boolean hasOut = commandLine.hasOption("out");
    if (commandLine.hasOption("dry-run") == hasOut) {
      throw new InvalidConfigurationException(
          "--out", "expected either this or --dry-run, got " + (hasOut ? "both" : "neither"));
    }
    return files[0];
  }

  private static ExitCode migrate(
      CommandLine commandLine, Path oldFile, PrintStream out, PrintStream err) {
    Map<String, Object> old = ConfigurationFile.read(oldFile);
    if (Migration.isMigrated(old)) {
      new ProxyConfig(old); // throws if it can't be used
      err.println(oldFile + ": has the shape per-client already, nothing is written");
      return ExitCode.SUCCESS;
    }
    Migration migration = Migration.of(old, migrationOptions(commandLine));
    String text = toJson(migration.result(), oldFile);
    if (commandLine.hasOption("dry-run")) {
      out.print(text);
    } else {
      writeNewFile(Path.of(commandLine.getOptionValue("out")), text);
    }
    migration.remarks().forEach(err::println);
    return migration.remarks().isEmpty() ? ExitCode.SUCCESS : ExitCode.ACTION_REQUIRED;
  }

  private static Migration.Options migrationOptions(CommandLine commandLine) {
    LoadReportMode reportMode = loadReportModeOption(commandLine);
    String listen = commandLine.getOptionValue("listen");
    if (listen != null) {
      SocketAddressParser.parse("--listen", listen);
    }
    return new Migration.Options(
        integerOption(commandLine, "balancers"),
        integerOption(commandLine, "me"),
        reportMode,
        commandLine.getOptionValue("place"),
        listen);
  }

  /** An option's value, or null if it is not given. */
  private static Integer integerOption(CommandLine commandLine, String name) {
    String value = commandLine.getOptionValue(name);
    try {
      return value == null ? null : Integer.valueOf(value);
    } catch (NumberFormatException e) {
      throw new InvalidConfigurationException(
          "--" + name, "expected a whole number, got " + OneLineText.quoted(value));
    }
  }

  /** How backends report their load, or null if the option is not given. */
  private static LoadReportMode loadReportModeOption(CommandLine commandLine) {
    String keyword = commandLine.getOptionValue("reports");
    if (keyword == null) {
      return null;
    }
    return LoadReportMode.find(keyword)
        .orElseThrow(
            () ->
                new InvalidConfigurationException(
                    "--reports",
                    "expected one of "
                        + LoadReportMode.KEYWORDS
                        + ", got "
                        + OneLineText.quoted(keyword)));
  }

  private static String toJson(Map<String, Object> configuration, Path oldFile) {
    ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    try {
      return mapper.writeValueAsString(configuration) + "\n";
    } catch (IOException e) {
      throw new InvalidConfigurationException(
          oldFile.toString(), "cannot be written as JSON: " + e.getMessage());
    }
  }

  /**
   * Writes a file completely or not at all, and never overwrites one: the text goes to a temporary
   * file, which is then linked to the name. The link fails if the name exists.
   */
  private static void writeNewFile(Path file, String text) {
    try {
      Path temporary = Files.createTempFile(file.toAbsolutePath().getParent(), ".migrate", ".part");
      try {
        Files.writeString(temporary, text);
        Files.createLink(file, temporary);
      } finally {
        Files.delete(temporary);
      }
    } catch (FileAlreadyExistsException e) {
      throw new InvalidConfigurationException("--out", file + " exists already");
    } catch (IOException e) {
      throw new InvalidConfigurationException("--out", file + " cannot be written: " + e);
    }
  }
}
