package wheattrack.lab;

import java.io.IOException;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.lab.referee.InvalidLedgerException;
import wheattrack.lab.scale.ResourceLimitException;
import wheattrack.lab.scale.ScaleCommand;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;
import wheattrack.lab.soak.SoakCommand;

/** The lab's command line; {@link ExitCode} names what it ends with. */
public final class LabMain {
  private static final String USAGE =
      """
usage: ./wheattrack lab COMMAND
  list                        the scenarios that ship, a line each
  run NAME_OR_FILE            plays one; its last line is RESULT
      --seed N                another seed (1)
      --out DIR               leaves ledgers, JSON lines and an HTML report there
      --set KEY=VALUE         sets a key of the scenario, as in --set load.rate=200
      --policy P              who decides on the virtual clock: rules, random, round-robin, least-out,
                              two-choices
      --jar FILE              the proxies' program on the real clock
  check NAME_OR_FILE          reads one and says whether it can be played
  compare NAME_OR_FILE        plays two sides over the same seeds and says how they differ
      --seeds N               seeds from 1 on (20)
      --base SIDE             a policy, or jar:FILE for another build's decisions (random)
      --cand SIDE             the other side (rules)
      --set KEY=A,B,...       plays each value of a key of the scenario; may stand several times
      --out DIR               leaves JSON lines and an HTML report of the first seed there
  bench                       what the virtual world and the sockets can do on this machine
  soak                        shutdowns, signals and crowds on one proxy, by seeds
      --seeds A-B             the seeds to play, first and last (1-8)
      --jar FILE              the proxy's program
  scale                       what control costs by size: hollow proxies beside real ones
      --axis NAME             one of backends, changes, watchers, rule-sets, tenants, scope,
                              scope-watchers, outage, scope-outage, restart
      --points A,B,...        its points (whole numbers)
      --memory-mb N           what all processes may hold (half of the machine's, 12288 at most)
exit codes: 0 good, 1 fell short, 2 bad input, 3 the machine was too busy or a ledger is torn""";

  private LabMain() {}

  /** Runs a command and ends the process with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args).status());
  }

  private static ExitCode run(String[] args) {
    try {
      CommandLine line = LabOptions.parse(args);
      List<String> arguments = line.getArgList();
      if (line.hasOption("help") || arguments.equals(List.of("help"))) {
        System.out.println(USAGE);
        return ExitCode.GOOD;
      }
      return switch (arguments.size()) {
        case 1 -> runCommand(arguments.get(0), line);
        case 2 -> runCommand(arguments.get(0), arguments.get(1), line);
        default -> badInput(USAGE);
      };
    } catch (ParseException | InvalidConfigurationException e) {
      return badInput("wheattrack lab: " + e.getMessage());
    } catch (InvalidLedgerException | ResourceLimitException e) {
      System.err.println("wheattrack lab: void: " + e.getMessage());
      return ExitCode.INCONCLUSIVE;
    } catch (IOException e) {
      return badInput("wheattrack lab: " + e);
    }
  }

  private static ExitCode runCommand(String command, CommandLine line) throws IOException {
    return switch (command) {
      case "list" -> list();
      case "demo" -> DemoCommand.run(LabOptions.runOptions(line));
      case "bench" -> BenchCommand.run(LabOptions.runOptions(line));
      case "scale" -> scale(line);
      case "soak" -> soak(line);
      default -> badInput(USAGE);
    };
  }

  private static ExitCode runCommand(String command, String nameOrFile, CommandLine line)
      throws IOException {
    if (command.equals("compare")) {
      return CompareCommand.run(ScenarioCatalog.find(nameOrFile), line);
    }
    Scenario scenario =
        ScenarioReader.read(ScenarioCatalog.find(nameOrFile), LabOptions.settings(line));
    return switch (command) {
      case "check" -> {
        System.out.println("good: " + scenario.name());
        yield ExitCode.GOOD;
      }
      case "run" -> ScenarioRunner.run(scenario, LabOptions.runOptions(line));
      default -> badInput(USAGE);
    };
  }

  private static ExitCode list() throws IOException {
    for (String name : ScenarioCatalog.names()) {
      Scenario scenario = ScenarioReader.read(ScenarioCatalog.find(name));
      String clock = scenario.isVirtual() ? "virtual" : "real";
      System.out.printf("%-24s %-7s %s%n", name, clock, scenario.description());
    }
    return ExitCode.GOOD;
  }

  private static ExitCode soak(CommandLine line) throws IOException {
    LabOptions.SeedRange seeds = LabOptions.seedRange(line);
    try {
      boolean isKept =
          SoakCommand.run(
              ScenarioCatalog.home(), LabOptions.proxyJar(line), seeds.first(), seeds.last());
      return isKept ? ExitCode.GOOD : ExitCode.FELL_SHORT;
    } catch (InterruptedException e) {
      throw new IOException("interrupted", e);
    }
  }

  private static ExitCode scale(CommandLine line) throws IOException {
    long memoryBytes = LabOptions.wholeNumber(line, "memory-mb", 0) << 20;
    if (memoryBytes < 0) {
      throw new InvalidConfigurationException("--memory-mb", "negative");
    }
    ScaleCommand.ScaleOptions options =
        new ScaleCommand.ScaleOptions(
            ScenarioCatalog.home(),
            line.getOptionValue("axis"),
            line.getOptionValue("points"),
            LabOptions.seed(line),
            LabOptions.outputDirectory(line),
            memoryBytes,
            false,
            true);
    ScaleCommand.run(options, System.out);
    return ExitCode.GOOD;
  }

  private static ExitCode badInput(String message) {
    System.err.println(message);
    return ExitCode.BAD_INPUT;
  }
}
