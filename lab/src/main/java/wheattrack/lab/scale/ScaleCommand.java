package wheattrack.lab.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import wheattrack.config.ConfigurationReader;
import wheattrack.config.InvalidConfigurationException;

/** `lab scale`: what control costs, along one axis at a time. See docs/operate/scale.md. */
public final class ScaleCommand {
  private static final long LONGEST_NANOS = 600_000_000_000L;

  /**
   * What to play. axis: one, or null for all; points: its points, or null for those that ship;
   * memory: bytes that all processes may hold, 0 for what the machine allows; tellsWhole: a twin
   * whose source tells each change by the whole list, which a test is to notice; witnesses: whether
   * real proxies stand beside.
   */
  public record Job(
      Path home,
      String axis,
      String points,
      long seed,
      Path out,
      long memory,
      boolean tellsWhole,
      boolean witnesses) {}

  private ScaleCommand() {}

  /**
   * Plays it, prints each axis as it is done, and says what was had; throws BadConfig for bad
   * input.
   */
  public static List<AxisMeasurements> run(Job job, PrintStream say) throws IOException {
    long allowed = ProcessGroup.allowed();
    if (job.memory > allowed) {
      throw new InvalidConfigurationException(
          "--memory-mb",
          job.memory / 1_048_576
              + " is over the "
              + allowed / 1_048_576
              + " that may be used here");
    }
    String line =
        job.witnesses
            ? ConfigurationReader.read(job.home.resolve("deploy/balancer.toml")).text("run")
            : "";
    Path folder = Files.createTempDirectory("wheattrack-scale");
    List<AxisMeasurements> out = new ArrayList<>();
    long until = System.nanoTime() + LONGEST_NANOS;
    try (ProcessGroup processes = new ProcessGroup(job.memory > 0 ? job.memory : allowed);
        ScaleAxes axes =
            new ScaleAxes(
                processes, job.home, folder, line, job.seed, job.tellsWhole, job.witnesses)) {
      for (ScaleAxes.Axis axis : chosen(axes.all(), job)) {
        AxisMeasurements figures = new AxisMeasurements(axis.name(), axis.unit());
        out.add(figures);
        for (int point : points(axis, job.points)) {
          if (System.nanoTime() > until) {
            say.println("not run, as ten minutes are over: " + axis.name() + " " + point);
            continue;
          }
          try {
            axis.how().measure(point, figures.at(point));
          } catch (ProcessGroup.OverBound e) {
            throw e;
          } catch (Exception e) {
            processes.check();
            say.println(axis.name() + " " + point + " fell short: " + e);
          }
        }
        say.print(figures.table());
        say.flush();
      }
      say.printf("memory of all processes, at most: %d MB%n", processes.peak() / 1_048_576);
    } finally {
      clear(folder);
    }
    if (job.out != null) {
      Files.createDirectories(job.out);
      lines(job, out);
      Files.writeString(job.out.resolve("scale.html"), CapacityReport.of(out));
    }
    return out;
  }

  private static List<ScaleAxes.Axis> chosen(List<ScaleAxes.Axis> all, Job job) {
    if (job.axis == null) {
      if (job.points != null) {
        throw new InvalidConfigurationException("--points", "given without --axis");
      }
      return all;
    }
    List<ScaleAxes.Axis> one = all.stream().filter(a -> a.name().equals(job.axis)).toList();
    if (one.isEmpty()) {
      throw new InvalidConfigurationException(
          "--axis",
          "'" + job.axis + "' is none of " + all.stream().map(ScaleAxes.Axis::name).toList());
    }
    return one;
  }

  private static int[] points(ScaleAxes.Axis axis, String text) {
    if (text == null) {
      return axis.points();
    }
    int[] points =
        Arrays.stream(text.split(",", -1))
            .mapToInt(
                word -> {
                  int point;
                  try {
                    point = Integer.parseInt(word.strip());
                  } catch (NumberFormatException e) {
                    throw new InvalidConfigurationException(
                        "--points", "not a whole number: '" + word + "'");
                  }
                  if (point < axis.least() || point > axis.most()) {
                    throw new InvalidConfigurationException(
                        "--points", point + " is not from " + axis.least() + " to " + axis.most());
                  }
                  return point;
                })
            .toArray();
    return points;
  }

  private static void lines(Job job, List<AxisMeasurements> all) throws IOException {
    try (JsonGenerator json =
        new JsonFactory()
            .createGenerator(Files.newBufferedWriter(job.out.resolve("scale.jsonl")))) {
      json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
      for (AxisMeasurements figures : all) {
        for (AxisMeasurements.Row row : figures.rows) {
          json.writeStartObject();
          json.writeStringField("axis", figures.axis);
          json.writeNumberField("point", row.point());
          json.writeNumberField("seed", job.seed);
          for (Map.Entry<String, Double> f : row.figures().entrySet()) {
            if (Double.isFinite(f.getValue())) {
              json.writeNumberField(f.getKey(), f.getValue());
            } else {
              json.writeNullField(f.getKey());
            }
          }
          json.writeEndObject();
        }
      }
    }
  }

  private static void clear(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
