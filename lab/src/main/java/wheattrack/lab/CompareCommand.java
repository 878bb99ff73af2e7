package wheattrack.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.report.HtmlReport;
import wheattrack.lab.scenario.Metric;
import wheattrack.lab.scenario.ScenarioReader;

/**
 * Compares two policies or builds on the virtual clock, over the same seeds and a grid of settings.
 * The runs of a seed form a pair; the mean difference has a bootstrap interval.
 */
final class CompareCommand {
  private static final int DEFAULT_SEEDS = 20;
  private static final int MAX_SEEDS = 10_000;

  /** The metrics that are printed, in addition to those of the scenario's windows. */
  private static final Set<String> PRINTED_METRICS =
      Stream.of(
              Metric.SERVICE,
              Metric.WORST_SECOND,
              Metric.BROKEN,
              Metric.REJECTED,
              Metric.FAILED,
              Metric.REPEATED_WORK,
              Metric.P50,
              Metric.P99)
          .map(Metric::keyword)
          .collect(Collectors.toUnmodifiableSet());

  private final Path scenario;
  private final int seeds;
  private final ComparisonSide base;
  private final ComparisonSide candidate;
  private final Path outputDirectory;

  private CompareCommand(Path scenario, CommandLine line) {
    this.scenario = scenario;
    seeds = (int) LabOptions.wholeNumber(line, "seeds", DEFAULT_SEEDS);
    if (seeds < 1 || seeds > MAX_SEEDS) {
      throw new InvalidConfigurationException(
          "--seeds", "expected a number from 1 to " + MAX_SEEDS + ", got " + seeds);
    }
    base = ComparisonSide.of(line.getOptionValue("base", "random"));
    candidate = ComparisonSide.of(line.getOptionValue("cand", "rules"));
    outputDirectory = LabOptions.outputDirectory(line);
  }

  /** Compares the two sides at each point of the grid and prints the differences. */
  static ExitCode run(Path scenario, CommandLine line) throws IOException {
    CompareCommand command = new CompareCommand(scenario, line);
    List<Map<String, String>> grid = grid(LabOptions.settings(line, "KEY=VALUE,VALUE"));
    for (Map<String, String> point : grid) {
      if (!ScenarioReader.read(scenario, point).isVirtual()) {
        throw new InvalidConfigurationException(
            "clock",
            "expected a scenario on the virtual clock, got " + scenario + " on the real clock");
      }
    }
    int threads = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      for (Map<String, String> point : grid) {
        command.compare(point, pool);
      }
    } finally {
      pool.shutdownNow();
    }
    return ExitCode.SUCCESS;
  }

  /** All combinations of one value per key; the values of a setting are separated by commas. */
  private static List<Map<String, String>> grid(List<LabOptions.Setting> settings) {
    List<Map<String, String>> points = List.of(Map.of());
    for (LabOptions.Setting setting : settings) {
      String[] values = setting.value().split(",");
      List<Map<String, String>> extended = new ArrayList<>();
      for (Map<String, String> point : points) {
        for (String value : values) {
          Map<String, String> choice = new LinkedHashMap<>(point);
          choice.put(setting.key(), value);
          extended.add(choice);
        }
      }
      points = extended;
    }
    return points;
  }

  private void compare(Map<String, String> point, ExecutorService pool) throws IOException {
    List<Future<Map<String, Double>>> baseRuns = new ArrayList<>();
    List<Future<Map<String, Double>>> candidateRuns = new ArrayList<>();
    for (int i = 1; i <= seeds; i++) {
      int seed = i;
      baseRuns.add(pool.submit(() -> base.play(scenario, point, seed)));
      candidateRuns.add(pool.submit(() -> candidate.play(scenario, point, seed)));
    }
    Map<String, PairedDifference> differences = differences(baseRuns, candidateRuns);
    print(point, differences);
    if (outputDirectory != null) {
      Files.createDirectories(outputDirectory);
      writeLines(point, differences);
      if (base instanceof ComparisonSide.OwnPolicy ownBase
          && candidate instanceof ComparisonSide.OwnPolicy ownCandidate) {
        HtmlReport.write(
            outputDirectory.resolve("compare.html"),
            List.of(firstRun(ownCandidate, point), firstRun(ownBase, point)));
      }
    }
  }

  private HtmlReport.Run firstRun(ComparisonSide.OwnPolicy side, Map<String, String> point) {
    return new HtmlReport.Run(side.name(), side.judge(scenario, point, 1));
  }

  /** Waits for all runs; throws IOException if one of them fails. */
  private static Map<String, PairedDifference> differences(
      List<Future<Map<String, Double>>> baseRuns, List<Future<Map<String, Double>>> candidateRuns)
      throws IOException {
    Map<String, PairedDifference> differences = new LinkedHashMap<>();
    try {
      for (String metric : baseRuns.get(0).get().keySet()) {
        PairedDifference difference =
            PairedDifference.of(values(baseRuns, metric), values(candidateRuns, metric));
        differences.put(metric, difference);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting for the compared runs", e);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    }
    return differences;
  }

  private static double[] values(List<Future<Map<String, Double>>> runs, String metric)
      throws InterruptedException, ExecutionException {
    double[] values = new double[runs.size()];
    for (int i = 0; i < values.length; i++) {
      values[i] = runs.get(i).get().getOrDefault(metric, Double.NaN);
    }
    return values;
  }

  private void print(Map<String, String> point, Map<String, PairedDifference> differences) {
    System.out.printf(
        "%s %s%n%-16s %12s %12s %10s   %s%n",
        scenario.getFileName(),
        point.isEmpty() ? "" : point,
        "figure",
        "base",
        "candidate",
        "difference",
        "95% of resampled means, " + seeds + " seeds");
    differences.forEach(
        (metric, difference) -> {
          if (PRINTED_METRICS.contains(metric) || metric.startsWith(Metric.WINDOW_PREFIX)) {
            System.out.printf(
                Locale.ROOT,
                "%-16s %12s %12s %10s   %s to %s%s%n",
                metric,
                Verdict.format(difference.base()),
                Verdict.format(difference.candidate()),
                Verdict.format(difference.mean()),
                Verdict.format(difference.low()),
                Verdict.format(difference.high()),
                difference.isClear() ? "" : "  (no clear difference)");
          }
        });
  }

  /** Appends a JSON line for each metric, so that one file holds all points of the grid. */
  private void writeLines(Map<String, String> point, Map<String, PairedDifference> differences)
      throws IOException {
    Path file = outputDirectory.resolve("compare.jsonl");
    try (JsonGenerator json =
        new JsonFactory()
            .createGenerator(
                Files.newBufferedWriter(
                    file, StandardOpenOption.CREATE, StandardOpenOption.APPEND))) {
      json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
      for (Map.Entry<String, PairedDifference> entry : differences.entrySet()) {
        writeLine(json, point, entry.getKey(), entry.getValue());
      }
      json.writeRaw('\n');
    }
  }

  private void writeLine(
      JsonGenerator json, Map<String, String> point, String metric, PairedDifference difference)
      throws IOException {
    json.writeStartObject();
    json.writeStringField("figure", metric);
    json.writeStringField("base", base.name());
    json.writeStringField("candidate", candidate.name());
    json.writeObjectFieldStart("set");
    for (Map.Entry<String, String> setting : point.entrySet()) {
      json.writeStringField(setting.getKey(), setting.getValue());
    }
    json.writeEndObject();
    json.writeNumberField("seeds", seeds);
    json.writeNumberField("mean_base", difference.base());
    json.writeNumberField("mean_candidate", difference.candidate());
    json.writeNumberField("difference", difference.mean());
    json.writeNumberField("low", difference.low());
    json.writeNumberField("high", difference.high());
    json.writeEndObject();
  }
}
