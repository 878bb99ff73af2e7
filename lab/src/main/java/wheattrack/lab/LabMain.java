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

/** The lab's command line; {@link ExitCode} lists the exit statuses of the process. */
public final class LabMain {
  private static final String USAGE =
      """
usage: ./wheattrack lab COMMAND
  list                        lists the scenarios that ship, one per line
  run NAME_OR_FILE            plays a scenario; the last line of the output is RESULT
      --seed N                seed of all random draws (default 1)
      --out DIR               writes ledgers, JSON lines and an HTML report to this directory
      --set KEY=VALUE         sets a key of the scenario, as in --set load.rate=200
      --policy P              the policy on the virtual clock: rules, random, round-robin, least-out,
                              two-choices
      --jar FILE              the proxies' jar on the real clock
  check NAME_OR_FILE          reads a scenario and reports whether it is valid
  compare NAME_OR_FILE        plays two sides over the same seeds and prints how they differ
      --seeds N               number of seeds, from 1 on (default 20)
      --base SIDE             a policy, or jar:FILE for another build's decisions (default random)
      --cand SIDE             the side that is compared with it (default rules)
      --set KEY=A,B,...       plays each value of a key of the scenario; may be repeated
      --out DIR               writes JSON lines and an HTML report of the first seed to this directory
  bench                       measures virtual runs and runs on sockets on this machine
  soak                        plays shutdowns, signals and crowds of idle clients on one proxy
      --seeds A-B             first and last of the seeds to play (default 1-8)
      --jar FILE              the proxy's jar
  scale                       measures the cost of the control work by size, with control-only
                              proxies beside complete ones
      --axis NAME             one of backends, changes, watchers, rule-sets, tenants, scope,
                              scope-watchers, outage, scope-outage, restart
      --points A,B,...        the points of the axis (whole numbers)
      --memory-mb N           memory limit of all processes together (default half of the machine's,
                              12288 at most)
exit codes: 0 success, 1 an expectation or rule was not met, 2 bad input,
            3 no result: the machine was too busy, a limit was exceeded, or a ledger is corrupt""";

  /** Shift from mebibytes to bytes. */
  private static final int MEBIBYTE_SHIFT = 20;

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
        return ExitCode.SUCCESS;
      }
      return switch (arguments.size()) {
        case 1 -> runCommand(arguments.get(0), line);
        case 2 -> runCommand(arguments.get(0), arguments.get(1), line);
        default -> badInput(USAGE);
      };
    } catch (ParseException | InvalidConfigurationException e) {
      return badInput("wheattrack lab: " + e.getMessage());
    } catch (InvalidLedgerException | ResourceLimitException e) {
      System.err.println("wheattrack lab: no result: " + e.getMessage());
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
        yield ExitCode.SUCCESS;
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
    return ExitCode.SUCCESS;
  }

  private static ExitCode soak(CommandLine line) throws IOException {
    LabOptions.SeedRange seeds = LabOptions.seedRange(line);
    try {
      boolean areAllRulesMet =
          SoakCommand.run(
              ScenarioCatalog.home(), LabOptions.proxyJar(line), seeds.first(), seeds.last());
      return areAllRulesMet ? ExitCode.SUCCESS : ExitCode.EXPECTATION_NOT_MET;
    } catch (InterruptedException e) {
      throw new IOException("interrupted while a soak was running", e);
    }
  }

  private static ExitCode scale(CommandLine line) throws IOException {
    long memoryBytes = LabOptions.wholeNumber(line, "memory-mb", 0) << MEBIBYTE_SHIFT;
    if (memoryBytes < 0) {
      throw new InvalidConfigurationException(
          "--memory-mb", "expected a number not below 0, got " + line.getOptionValue("memory-mb"));
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
    return ExitCode.SUCCESS;
  }

  private static ExitCode badInput(String message) {
    System.err.println(message);
    return ExitCode.BAD_INPUT;
  }
}
