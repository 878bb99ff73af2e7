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
 * The command that turns a configuration of a bank of proxies into one of a proxy beside each
 * client.
 */
public final class MigrateCommand {
  private static final String USAGE =
      """
      usage: wheattrack migrate OLD (--out NEW | --dry-run) [...]
        OLD               a configuration of a bank of proxies; it stays as it is
        --out NEW         where its counterpart goes; a file that is there is never written over
        --dry-run         prints the counterpart and changes nothing
        --balancers N     how many proxies there will be, one beside each client process
        --me N            which of them this one is, from 0
        --reports HOW     how backends report their load: none, answers or probe
        --place NAME      the one place that all stands in, of the old zones
        --listen ADDRESS  where this proxy's client reaches it
      What could not be carried over is listed on the error output, a key a line.
      exit codes: 0 all carried over, or nothing to do; 1 something is left to you; 2 bad input""";

  private MigrateCommand() {}

  /** Runs the command; the exit code. */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    Options options =
        new Options().addOption("h", "help", false, "").addOption(null, "dry-run", false, "");
    for (String name : new String[] {"out", "balancers", "me", "reports", "place", "listen"}) {
      options.addOption(null, name, true, "");
    }
    String file = "";
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      if (line.hasOption("help")) {
        out.println(USAGE);
        return 0;
      }
      if (line.getArgs().length != 1) {
        throw new InvalidConfigurationException(
            "OLD", line.getArgs().length == 0 ? "missing" : "more than one");
      }
      if (line.hasOption("dry-run") == line.hasOption("out")) {
        throw new InvalidConfigurationException(
            "--out", line.hasOption("out") ? "contradicts --dry-run" : "missing");
      }
      file = line.getArgs()[0] + ": ";
      return run(line, Path.of(line.getArgs()[0]), out, err);
    } catch (ParseException e) {
      err.println("wheattrack migrate: " + e.getMessage());
    } catch (InvalidConfigurationException e) {
      String said = e.getMessage();
      err.println("wheattrack migrate: " + (said.startsWith(file) ? said : file + said));
    }
    return 2;
  }

  private static int run(CommandLine line, Path old, PrintStream out, PrintStream err) {
    Map<String, Object> was = ConfigurationFile.read(old);
    if (Migration.isNew(was)) {
      new ProxyConfig(was);
      err.println(old + ": is of the new shape already, nothing is written");
      return 0;
    }
    String reports = line.getOptionValue("reports");
    if (reports != null && !SettingsWords.REPORTS.contains(reports)) {
      throw new InvalidConfigurationException("--reports", "none of " + SettingsWords.REPORTS);
    }
    String listen = line.getOptionValue("listen");
    if (listen != null) {
      SocketAddressParser.parse("--listen", listen);
    }
    Migration made =
        new Migration(
            was,
            new Migration.Told(
                whole(line, "balancers"),
                whole(line, "me"),
                reports,
                line.getOptionValue("place"),
                listen));
    String text;
    try {
      text =
          new ObjectMapper()
                  .enable(SerializationFeature.INDENT_OUTPUT)
                  .writeValueAsString(made.result)
              + "\n";
    } catch (IOException e) {
      throw new InvalidConfigurationException(
          old.toString(), "can't be written anew: " + e.getMessage());
    }
    if (line.hasOption("dry-run")) {
      out.print(text);
    } else {
      write(Path.of(line.getOptionValue("out")), text);
    }
    made.left.forEach(err::println);
    return made.left.isEmpty() ? 0 : 1;
  }

  private static Integer whole(CommandLine line, String name) {
    String value = line.getOptionValue(name);
    try {
      return value == null ? null : Integer.valueOf(value);
    } catch (NumberFormatException e) {
      throw new InvalidConfigurationException("--" + name, "not a whole number: " + value);
    }
  }

  /** Whole or not at all: under another name first, then linked to its own, which must be free. */
  private static void write(Path file, String text) {
    try {
      Path part = Files.createTempFile(file.toAbsolutePath().getParent(), ".migrate", ".part");
      try {
        Files.writeString(part, text);
        Files.createLink(file, part);
      } finally {
        Files.delete(part);
      }
    } catch (FileAlreadyExistsException e) {
      throw new InvalidConfigurationException("--out", file + " is there already");
    } catch (IOException e) {
      throw new InvalidConfigurationException("--out", file + " can't be written: " + e);
    }
  }
}
