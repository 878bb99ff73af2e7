package wheattrack.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.lab.referee.Ledger;
import wheattrack.lab.scale.ProcessGroup;
import wheattrack.lab.scale.ScaleCommand;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;
import wheattrack.lab.virtual.Policies;

/**
 * The lab's command line. Exit codes: 0 good, 1 fell short, 2 bad input, 3 the run says nothing.
 */
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
  scale                       what control costs by size: hollow proxies beside real ones
      --axis NAME             one of backends, changes, watchers, rule-sets, tenants, scope,
                              scope-watchers, outage, scope-outage, restart
      --points A,B,...        its points (whole numbers)
      --memory-mb N           what all processes may hold (half of the machine's, 12288 at most)
exit codes: 0 good, 1 fell short, 2 bad input, 3 the machine was too busy or a ledger is torn""";

  private LabMain() {}

  public static void main(String[] args) {
    System.exit(run(args));
  }

  private static int run(String[] args) {
    Options options =
        new Options()
            .addOption(null, "seed", true, "")
            .addOption(null, "out", true, "")
            .addOption(null, "policy", true, "")
            .addOption(null, "jar", true, "")
            .addOption(null, "seeds", true, "")
            .addOption(null, "base", true, "")
            .addOption(null, "cand", true, "")
            .addOption(null, "set", true, "")
            .addOption(null, "axis", true, "")
            .addOption(null, "points", true, "")
            .addOption(null, "memory-mb", true, "")
            .addOption(null, "help", false, "");
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      List<String> words = line.getArgList();
      if (line.hasOption("help") || words.equals(List.of("help"))) {
        System.out.println(USAGE);
        return 0;
      }
      if (words.equals(List.of("list"))) {
        for (String name : ScenarioCatalog.names()) {
          Scenario s = ScenarioReader.read(ScenarioCatalog.find(name));
          System.out.printf(
              "%-24s %-7s %s%n", name, s.isVirtual() ? "virtual" : "real", s.description());
        }
        return 0;
      }
      if (words.equals(List.of("demo"))) {
        return DemoCommand.run(job(line));
      }
      if (words.equals(List.of("bench"))) {
        return BenchCommand.run(job(line));
      }
      if (words.equals(List.of("scale"))) {
        return scale(line);
      }
      if (words.size() == 2 && words.get(0).equals("compare")) {
        return CompareCommand.run(ScenarioCatalog.find(words.get(1)), line);
      }
      if (words.size() != 2) {
        return fault(USAGE);
      }
      Scenario scenario = ScenarioReader.read(ScenarioCatalog.find(words.get(1)), settings(line));
      return switch (words.get(0)) {
        case "check" -> {
          System.out.println("good: " + scenario.name());
          yield 0;
        }
        case "run" -> ScenarioRunner.run(scenario, job(line));
        default -> fault(USAGE);
      };
    } catch (ParseException | InvalidConfigurationException e) {
      return fault("wheattrack lab: " + e.getMessage());
    } catch (Ledger.Void e) {
      System.err.println("wheattrack lab: void: " + e.getMessage());
      return 3;
    } catch (IOException e) {
      return fault("wheattrack lab: " + e);
    }
  }

  private static int scale(CommandLine line) throws IOException {
    long memory = whole(line, "memory-mb", 0) << 20;
    if (memory < 0) {
      throw new InvalidConfigurationException("--memory-mb", "negative");
    }
    try {
      ScaleCommand.run(
          new ScaleCommand.Job(
              ScenarioCatalog.home(),
              line.getOptionValue("axis"),
              line.getOptionValue("points"),
              whole(line, "seed", 1),
              line.hasOption("out") ? Path.of(line.getOptionValue("out")) : null,
              memory,
              false,
              true),
          System.out);
      return 0;
    } catch (ProcessGroup.OverBound e) {
      System.err.println("wheattrack lab: void: " + e.getMessage());
      return 3;
    }
  }

  static ScenarioRunner.Job job(CommandLine line) {
    String policy = line.getOptionValue("policy", Policies.names().get(0));
    if (!Policies.names().contains(policy)) {
      throw new InvalidConfigurationException(
          "--policy", "'" + policy + "' is none of " + Policies.names());
    }
    long seed = whole(line, "seed", 1);
    Path out = line.hasOption("out") ? Path.of(line.getOptionValue("out")) : null;
    Path jar =
        line.hasOption("jar") ? Path.of(line.getOptionValue("jar")) : ScenarioCatalog.proxyJar();
    return new ScenarioRunner.Job(
        seed, out, Policies.Kind.values()[Policies.names().indexOf(policy)], jar);
  }

  /** What --set says, each key with its one value. */
  private static Map<String, String> settings(CommandLine line) {
    Map<String, String> out = new LinkedHashMap<>();
    for (String set : line.hasOption("set") ? line.getOptionValues("set") : new String[0]) {
      int cut = set.indexOf('=');
      if (cut <= 0) {
        throw new InvalidConfigurationException("--set", "not KEY=VALUE: " + set);
      }
      out.put(set.substring(0, cut), set.substring(cut + 1));
    }
    return out;
  }

  static long whole(CommandLine line, String option, long otherwise) {
    String text = line.getOptionValue(option, Long.toString(otherwise));
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new InvalidConfigurationException("--" + option, "not a whole number: " + text);
    }
  }

  private static int fault(String text) {
    System.err.println(text);
    return 2;
  }
}
