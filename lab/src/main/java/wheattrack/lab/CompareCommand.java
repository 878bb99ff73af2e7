package wheattrack.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.apache.commons.cli.CommandLine;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.report.HtmlReport;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;
import wheattrack.lab.virtual.Policies;
import wheattrack.lab.virtual.VirtualRun;

/**
 * Two sides over the same seeds and a grid of settings, on the virtual clock: pair by pair, with a
 * bootstrap interval for the mean difference. A side is a policy of this build, or another build's
 * decisions, which then stand before this build's on the class path of a process of its own.
 */
final class CompareCommand {
  private static final int RESAMPLES = 4000;
  private static final List<String> SHOWN =
      List.of("service", "worst-second", "broken", "denied", "aborted", "duplicate", "p50", "p99");

  /** Mean of both sides, mean difference, and the interval that holds 95% of the resampled ones. */
  record Difference(double base, double cand, double mean, double low, double high) {
    /** Resamples the pairs; the draws are the same each time. */
    static Difference of(double[] base, double[] cand) {
      int n = base.length;
      double[] diff = new double[n];
      for (int i = 0; i < n; i++) {
        diff[i] = cand[i] - base[i];
      }
      RandomStream draws = new RandomStream(7, "bootstrap");
      double[] means = new double[RESAMPLES];
      for (int r = 0; r < RESAMPLES; r++) {
        double sum = 0;
        for (int i = 0; i < n; i++) {
          sum += diff[draws.nextInt(n)];
        }
        means[r] = sum / n;
      }
      Arrays.sort(means);
      return new Difference(
          Arrays.stream(base).average().orElse(0),
          Arrays.stream(cand).average().orElse(0),
          Arrays.stream(diff).average().orElse(0),
          means[(int) (RESAMPLES * 0.025)],
          means[(int) (RESAMPLES * 0.975)]);
    }

    boolean isClear() {
      return low > 0 || high < 0;
    }
  }

  private final Path file;
  private final int seeds;
  private final String[] sides;
  private final Path out;

  private CompareCommand(Path file, CommandLine line) {
    this.file = file;
    seeds = (int) LabMain.whole(line, "seeds", 20);
    if (seeds < 1 || seeds > 10_000) {
      throw new InvalidConfigurationException("--seeds", "not from 1 to 10000: " + seeds);
    }
    sides =
        new String[] {line.getOptionValue("base", "random"), line.getOptionValue("cand", "rules")};
    for (String side : sides) {
      if (side.startsWith("jar:")
          ? !Files.isRegularFile(Path.of(side.substring(4)))
          : !Policies.names().contains(side)) {
        throw new InvalidConfigurationException(
            side, "no such jar, and no policy of " + Policies.names());
      }
    }
    out = line.hasOption("out") ? Path.of(line.getOptionValue("out")) : null;
  }

  static int run(Path file, CommandLine line) throws IOException {
    CompareCommand compare = new CompareCommand(file, line);
    List<Map<String, String>> grid =
        grid(line.hasOption("set") ? line.getOptionValues("set") : new String[0]);
    for (Map<String, String> point : grid) {
      if (!ScenarioReader.read(file, point).isVirtual()) {
        throw new InvalidConfigurationException(
            "clock", "only scenarios on the virtual clock are compared");
      }
    }
    ExecutorService pool =
        Executors.newFixedThreadPool(Math.max(1, Runtime.getRuntime().availableProcessors() / 2));
    try {
      for (Map<String, String> point : grid) {
        compare.point(point, pool);
      }
    } finally {
      pool.shutdownNow();
    }
    return 0;
  }

  /** Every choice of one value a key. */
  static List<Map<String, String>> grid(String[] sets) {
    List<Map<String, String>> points = List.of(Map.of());
    for (String set : sets) {
      int cut = set.indexOf('=');
      if (cut <= 0) {
        throw new InvalidConfigurationException("--set", "not KEY=VALUE,VALUE: " + set);
      }
      List<Map<String, String>> next = new ArrayList<>();
      for (Map<String, String> point : points) {
        for (String value : set.substring(cut + 1).split(",")) {
          Map<String, String> one = new LinkedHashMap<>(point);
          one.put(set.substring(0, cut), value);
          next.add(one);
        }
      }
      points = next;
    }
    return points;
  }

  private void point(Map<String, String> point, ExecutorService pool) throws IOException {
    List<List<Future<Map<String, Double>>>> runs = List.of(new ArrayList<>(), new ArrayList<>());
    for (int seed = 1; seed <= seeds; seed++) {
      for (int side = 0; side < 2; side++) {
        String who = sides[side];
        int n = seed;
        runs.get(side)
            .add(
                pool.submit(
                    () ->
                        who.startsWith("jar:")
                            ? elsewhere(point, Path.of(who.substring(4)), n)
                            : here(point, who, n).figures()));
      }
    }
    Map<String, Difference> found = new LinkedHashMap<>();
    try {
      for (String figure : runs.get(0).get(0).get().keySet()) {
        found.put(figure, Difference.of(values(runs.get(0), figure), values(runs.get(1), figure)));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    }
    tell(point, found);
    if (out != null) {
      Files.createDirectories(out);
      lines(point, found);
      if (Arrays.stream(sides).noneMatch(s -> s.startsWith("jar:"))) {
        HtmlReport.write(
            out.resolve("compare.html"),
            List.of(
                new HtmlReport.Run(sides[1], here(point, sides[1], 1)),
                new HtmlReport.Run(sides[0], here(point, sides[0], 1))));
      }
    }
  }

  private static double[] values(List<Future<Map<String, Double>>> runs, String figure)
      throws InterruptedException, ExecutionException {
    double[] out = new double[runs.size()];
    for (int i = 0; i < out.length; i++) {
      out[i] = runs.get(i).get().getOrDefault(figure, Double.NaN);
    }
    return out;
  }

  private Verdict here(Map<String, String> point, String policy, int seed) {
    Scenario scenario = ScenarioReader.read(file, point);
    Referee referee = new Referee(scenario);
    new VirtualRun(
            scenario, seed, Policies.Kind.values()[Policies.names().indexOf(policy)], referee)
        .run();
    return referee.verdict();
  }

  private Map<String, Double> elsewhere(Map<String, String> point, Path jar, int seed)
      throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-cp",
                jar + System.getProperty("path.separator") + System.getProperty("java.class.path"),
                LabMain.class.getName(),
                "run",
                file.toString(),
                "--seed",
                Integer.toString(seed)));
    point.forEach((key, value) -> command.addAll(List.of("--set", key + "=" + value)));
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String last = "";
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String text = in.readLine(); text != null; text = in.readLine()) {
        last = text;
      }
    } finally {
      process.destroyForcibly();
    }
    if (!last.startsWith("RESULT ")) {
      throw new UncheckedIOException(
          new IOException(jar + " did not play seed " + seed + ": " + last));
    }
    Map<String, Double> figures = new LinkedHashMap<>();
    for (String word : last.split(" ")) {
      int cut = word.indexOf('=');
      if (cut > 0 && !word.startsWith("ok=") && !word.startsWith("seed=")) {
        figures.put(word.substring(0, cut), Double.parseDouble(word.substring(cut + 1)));
      }
    }
    return figures;
  }

  private void tell(Map<String, String> point, Map<String, Difference> found) {
    System.out.printf(
        "%s %s%n%-16s %12s %12s %10s   %s%n",
        file.getFileName(),
        point.isEmpty() ? "" : point,
        "figure",
        "base",
        "candidate",
        "difference",
        "95% of resampled means, " + seeds + " seeds");
    found.forEach(
        (figure, d) -> {
          if (SHOWN.contains(figure) || figure.startsWith("service-")) {
            System.out.printf(
                Locale.ROOT,
                "%-16s %12s %12s %10s   %s to %s%s%n",
                figure,
                Verdict.text(d.base),
                Verdict.text(d.cand),
                Verdict.text(d.mean),
                Verdict.text(d.low),
                Verdict.text(d.high),
                d.isClear() ? "" : "  (no clear difference)");
          }
        });
  }

  private void lines(Map<String, String> point, Map<String, Difference> found) throws IOException {
    Path to = out.resolve("compare.jsonl");
    try (JsonGenerator json =
        new JsonFactory()
            .createGenerator(
                Files.newBufferedWriter(
                    to,
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND))) {
      json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
      for (Map.Entry<String, Difference> e : found.entrySet()) {
        json.writeStartObject();
        json.writeStringField("figure", e.getKey());
        json.writeStringField("base", sides[0]);
        json.writeStringField("candidate", sides[1]);
        json.writeObjectFieldStart("set");
        for (Map.Entry<String, String> s : point.entrySet()) {
          json.writeStringField(s.getKey(), s.getValue());
        }
        json.writeEndObject();
        json.writeNumberField("seeds", seeds);
        json.writeNumberField("mean_base", e.getValue().base);
        json.writeNumberField("mean_candidate", e.getValue().cand);
        json.writeNumberField("difference", e.getValue().mean);
        json.writeNumberField("low", e.getValue().low);
        json.writeNumberField("high", e.getValue().high);
        json.writeEndObject();
      }
      json.writeRaw('\n');
    }
  }
}
