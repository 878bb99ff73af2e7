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
import java.util.List;
import java.util.Map;
import wheattrack.config.ConfigurationReader;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.lab.process.TemporaryDirectory;

/**
 * The command {@code lab scale}: measures the cost of the control plane, along one axis at a time.
 * See docs/operate/scale.md.
 */
public final class ScaleCommand {
  /** No point is begun later than this after the start of the run. */
  private static final long MAX_RUN_NANOS = 600_000_000_000L;

  /**
   * What to measure.
   *
   * @param home the root of the source tree, where the operators' command line is run
   * @param axis the one axis to measure, or null for all
   * @param points its points, separated by commas, or null for those of a full run
   * @param seed varies the proxies' seeds and the order of changes
   * @param outputDirectory where the metrics and the report are written, or null for nowhere
   * @param memoryBytes what all processes may hold together, 0 for what the machine allows
   * @param sendsSnapshots whether the sources send each change as a complete snapshot, a fault that
   *     a test must detect
   * @param hasReferences whether complete proxies run alongside the control-only ones
   */
  public record ScaleOptions(
      Path home,
      String axis,
      String points,
      long seed,
      Path outputDirectory,
      long memoryBytes,
      boolean sendsSnapshots,
      boolean hasReferences) {}

  private ScaleCommand() {}

  /**
   * Measures, prints each axis once it is measured, and returns the metrics.
   *
   * @throws InvalidConfigurationException for bad input
   * @throws ResourceLimitException if the run needs more memory or processes than it may have
   */
  public static List<AxisMeasurements> run(ScaleOptions options, PrintStream output)
      throws IOException {
    long memoryLimit = memoryLimit(options);
    String commandLine =
        options.hasReferences
            ? ConfigurationReader.read(options.home.resolve("deploy/balancer.toml")).text("run")
            : "";
    List<AxisMeasurements> measurements = new ArrayList<>();
    long deadline = System.nanoTime() + MAX_RUN_NANOS;
    try (TemporaryDirectory directory = new TemporaryDirectory("wheattrack-scale");
        ProcessGroup processes = new ProcessGroup(memoryLimit);
        ScaleEnvironment environment =
            new ScaleEnvironment(processes, options, directory.path(), commandLine)) {
      for (ScaleAxis axis : selectAxes(ScaleAxes.of(environment), options)) {
        AxisMeasurements axisMeasurements = new AxisMeasurements(axis.name(), axis.unit());
        measurements.add(axisMeasurements);
        for (int point : points(axis, options.points)) {
          if (System.nanoTime() > deadline) {
            output.println(
                "not measured, because the run has taken ten minutes: "
                    + axis.name()
                    + " "
                    + point);
          } else {
            measure(axis, point, axisMeasurements, environment, output);
          }
        }
        output.print(axisMeasurements.table());
        output.flush();
      }
      output.printf(
          "peak memory of all processes: %d MiB%n", processes.peakMemoryBytes() / ByteUnits.MIB);
    }
    if (options.outputDirectory != null) {
      writeReports(options, measurements);
    }
    return measurements;
  }

  /** The bytes that all processes may hold together, as requested or as this machine allows. */
  private static long memoryLimit(ScaleOptions options) {
    long allowed = ProcessStatistics.allowedMemoryBytes();
    if (options.memoryBytes > allowed) {
      throw new InvalidConfigurationException(
          "--memory-mb",
          "expected at most "
              + allowed / ByteUnits.MIB
              + ", which this machine allows, got "
              + options.memoryBytes / ByteUnits.MIB);
    }
    return options.memoryBytes > 0 ? options.memoryBytes : allowed;
  }

  private static void writeReports(ScaleOptions options, List<AxisMeasurements> measurements)
      throws IOException {
    Files.createDirectories(options.outputDirectory);
    writeLines(options, measurements);
    Files.writeString(
        options.outputDirectory.resolve("scale.html"), CapacityReport.html(measurements));
  }

  /** Measures a point. After a failure, prints it and leaves out the metrics not yet measured. */
  private static void measure(
      ScaleAxis axis,
      int point,
      AxisMeasurements measurements,
      ScaleEnvironment environment,
      PrintStream output) {
    try {
      axis.measurement().measure(point, measurements.addRow(point));
    } catch (ResourceLimitException e) {
      throw e;
    } catch (IOException | InterruptedException | RuntimeException e) {
      environment.checkLimit(); // throws if it failed because its processes were killed
      output.println(axis.name() + " " + point + " could not be measured: " + e);
    }
  }

  private static List<ScaleAxis> selectAxes(List<ScaleAxis> all, ScaleOptions options) {
    if (options.axis == null) {
      if (options.points != null) {
        throw new InvalidConfigurationException(
            "--points", "expected only with --axis, got '" + options.points + "' without it");
      }
      return all;
    }
    List<ScaleAxis> selected =
        all.stream().filter(axis -> axis.name().equals(options.axis)).toList();
    if (selected.isEmpty()) {
      throw new InvalidConfigurationException(
          "--axis",
          "expected one of "
              + all.stream().map(ScaleAxis::name).toList()
              + ", got '"
              + options.axis
              + "'");
    }
    return selected;
  }

  private static int[] points(ScaleAxis axis, String text) {
    if (text == null) {
      return axis.points();
    }
    return Arrays.stream(text.split(",", -1)).mapToInt(part -> point(axis, part)).toArray();
  }

  private static int point(ScaleAxis axis, String text) {
    int point;
    try {
      point = Integer.parseInt(text.strip());
    } catch (NumberFormatException e) {
      throw new InvalidConfigurationException(
          "--points", "expected a whole number, got '" + text + "'");
    }
    if (point < axis.min() || point > axis.max()) {
      throw new InvalidConfigurationException(
          "--points", "expected " + axis.min() + " to " + axis.max() + ", got " + point);
    }
    return point;
  }

  private static void writeLines(ScaleOptions options, List<AxisMeasurements> measurements)
      throws IOException {
    Path file = options.outputDirectory.resolve("scale.jsonl");
    try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
      json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
      for (AxisMeasurements axis : measurements) {
        for (AxisMeasurements.Row row : axis.rows()) {
          writeLine(json, options, axis, row);
        }
      }
    }
  }

  private static void writeLine(
      JsonGenerator json, ScaleOptions options, AxisMeasurements axis, AxisMeasurements.Row row)
      throws IOException {
    json.writeStartObject();
    json.writeStringField("axis", axis.axis());
    json.writeNumberField("point", row.point());
    json.writeNumberField("seed", options.seed);
    for (Map.Entry<String, Double> metric : row.metrics().entrySet()) {
      if (Double.isFinite(metric.getValue())) {
        json.writeNumberField(metric.getKey(), metric.getValue());
      } else {
        json.writeNullField(metric.getKey());
      }
    }
    json.writeEndObject();
  }
}
