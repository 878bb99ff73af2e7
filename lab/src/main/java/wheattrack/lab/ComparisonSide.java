package wheattrack.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.lab.process.Processes;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.ScenarioReader;
import wheattrack.lab.virtual.Policies;

/**
 * One side of a comparison: decisions with which a scenario is played on the virtual clock.
 * Thread-safe.
 */
sealed interface ComparisonSide {
  /** Prefix of the name of a side that is the jar of another build. */
  String JAR_PREFIX = "jar:";

  /** The side's name as given on the command line. */
  String name();

  /** Plays a run and returns its metrics by name; throws IOException if the run fails. */
  Map<String, Double> play(Path scenario, Map<String, String> settings, int seed)
      throws IOException;

  /** The side of this name; throws InvalidConfigurationException without such a jar or policy. */
  static ComparisonSide of(String name) {
    if (name.startsWith(JAR_PREFIX)) {
      Path jar = Path.of(name.substring(JAR_PREFIX.length()));
      if (Files.isRegularFile(jar)) {
        return new OtherBuild(name, jar);
      }
    } else if (Policies.names().contains(name)) {
      return new OwnPolicy(name, LabOptions.policy(name));
    }
    throw new InvalidConfigurationException(
        name,
        "expected " + JAR_PREFIX + "FILE with an existing file, or one of " + Policies.names());
  }

  /** A policy of this build. */
  record OwnPolicy(String name, Policies.Kind policy) implements ComparisonSide {
    @Override
    public Map<String, Double> play(Path scenario, Map<String, String> settings, int seed) {
      return judge(scenario, settings, seed).metrics();
    }

    /** Plays a run and returns its complete verdict. */
    Verdict judge(Path scenario, Map<String, String> settings, int seed) {
      return ScenarioRunner.judgeVirtual(ScenarioReader.read(scenario, settings), seed, policy);
    }
  }

  /**
   * The decisions of another build, played in a process of its own: its jar precedes this build's
   * classes on the class path.
   */
  record OtherBuild(String name, Path jar) implements ComparisonSide {
    private static final String RESULT_PREFIX = "RESULT ";

    @Override
    public Map<String, Double> play(Path scenario, Map<String, String> settings, int seed)
        throws IOException {
      String line = lastLine(command(scenario, settings, seed));
      if (!line.startsWith(RESULT_PREFIX)) {
        throw new UncheckedIOException(
            new IOException(
                jar
                    + ", seed "
                    + seed
                    + ": expected a line RESULT at the end of the output, got: "
                    + line));
      }
      return metrics(line);
    }

    private List<String> command(Path scenario, Map<String, String> settings, int seed) {
      String classPath =
          jar + System.getProperty("path.separator") + System.getProperty("java.class.path");
      List<String> command = new ArrayList<>();
      command.add(Processes.javaCommand());
      command.add("-XX:+UseSerialGC");
      command.addAll(List.of("-cp", classPath));
      command.add(LabMain.class.getName());
      command.addAll(List.of("run", scenario.toString(), "--seed", Integer.toString(seed)));
      settings.forEach((key, value) -> command.addAll(List.of("--set", key + "=" + value)));
      return command;
    }

    /** Runs a command and returns the last line of its output, or an empty string. */
    private static String lastLine(List<String> command) throws IOException {
      Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
      String last = "";
      try (BufferedReader output =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
        for (String line = output.readLine(); line != null; line = output.readLine()) {
          last = line;
        }
      } finally {
        process.destroyForcibly();
      }
      return last;
    }

    private static Map<String, Double> metrics(String resultLine) {
      Map<String, Double> metrics = new LinkedHashMap<>();
      for (String field : resultLine.split(" ")) {
        int equalsSign = field.indexOf('=');
        if (equalsSign > 0 && !field.startsWith("ok=") && !field.startsWith("seed=")) {
          String value = field.substring(equalsSign + 1);
          metrics.put(field.substring(0, equalsSign), Double.parseDouble(value));
        }
      }
      return metrics;
    }
  }
}
