package wheattrack.lab.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The measurements along one axis: a row of metrics by name for each point. A metric that could not
 * be measured is NaN. Not thread-safe.
 */
public final class AxisMeasurements {
  /** The metrics of one point, in the order in which they were measured. */
  public record Row(double point, Map<String, Double> metrics) {
    /** The metric of this name; NaN if it was not measured. */
    public double metric(String name) {
      return metrics.getOrDefault(name, Double.NaN);
    }
  }

  /** A point at which a metric was measured, and its value there. */
  record Sample(double point, double value) {}

  /**
   * A straight line through the samples by least squares.
   *
   * @param slope value by point
   * @param error the slope's standard error
   * @param slopeRatio the slope between the last two samples over that between the first two
   */
  public record Line(double slope, double error, double slopeRatio) {}

  /** Prefix of the metrics of the reference proxy, which runs alongside the control-only ones. */
  private static final String REFERENCE_PREFIX = "w_";

  private static final int MIN_COLUMN_WIDTH = 8;

  /** Values from this one on are printed without a fraction. */
  private static final int MIN_ROUNDED_VALUE = 100;

  private final String axis;
  private final String unit;
  private final List<Row> rows = new ArrayList<>();

  AxisMeasurements(String axis, String unit) {
    this.axis = axis;
    this.unit = unit;
  }

  /** The axis's name. */
  public String axis() {
    return axis;
  }

  /** What the points of the axis count, as printed. */
  public String unit() {
    return unit;
  }

  /** The points measured so far, in order. */
  public List<Row> rows() {
    return Collections.unmodifiableList(rows);
  }

  /** Adds a row for a point and returns its map of metrics, to which the caller adds them. */
  Map<String, Double> addRow(double point) {
    Map<String, Double> metrics = new LinkedHashMap<>();
    rows.add(new Row(point, metrics));
    return metrics;
  }

  /** The metrics' names in the order in which they were first measured. */
  public List<String> names() {
    return rows.stream().flatMap(row -> row.metrics.keySet().stream()).distinct().toList();
  }

  /** The points at which this metric was measured. */
  List<Sample> samples(String name) {
    return rows.stream()
        .map(row -> new Sample(row.point, row.metric(name)))
        .filter(sample -> Double.isFinite(sample.value))
        .toList();
  }

  /** The line through the samples of a metric; null if there are fewer than three. */
  public Line line(String name) {
    List<Sample> samples = samples(name);
    int count = samples.size();
    if (count < 3) {
      return null;
    }
    double meanX = samples.stream().mapToDouble(Sample::point).average().orElse(0);
    double meanY = samples.stream().mapToDouble(Sample::value).average().orElse(0);
    double sumXx = samples.stream().mapToDouble(s -> (s.point - meanX) * (s.point - meanX)).sum();
    double sumXy = samples.stream().mapToDouble(s -> (s.point - meanX) * (s.value - meanY)).sum();
    double slope = sumXy / sumXx;
    double squaredErrors =
        samples.stream()
            .mapToDouble(s -> Math.pow(s.value - meanY - slope * (s.point - meanX), 2))
            .sum();
    double error = Math.sqrt(squaredErrors / Math.max(1, count - 2) / sumXx);
    double firstSlope = slope(samples.get(0), samples.get(1));
    double lastSlope = slope(samples.get(count - 2), samples.get(count - 1));
    return new Line(slope, error, lastSlope / firstSlope);
  }

  private static double slope(Sample from, Sample to) {
    return (to.value - from.value) / (to.point - from.point);
  }

  /**
   * All rows as a table, followed by the line of each metric and the range of its ratios to the
   * same metric of the reference proxy.
   */
  public String table() {
    StringBuilder table = new StringBuilder();
    List<String> names = names();
    append(table, "%n%s (%s)%n%12s", axis, unit, "point");
    names.forEach(name -> append(table, " %" + columnWidth(name) + "s", name));
    for (Row row : rows) {
      append(table, "%n%12s", format(row.point));
      names.forEach(
          name -> append(table, " %" + columnWidth(name) + "s", format(row.metric(name))));
    }
    names.forEach(name -> appendLine(table, name));
    names.forEach(name -> appendRatio(table, name));
    return table.append('\n').toString();
  }

  private void appendLine(StringBuilder table, String name) {
    Line line = line(name);
    if (line != null) {
      append(
          table,
          "%n  %-18s slope %.4g ± %.2g by %s, last slope to first %.2f",
          name,
          line.slope,
          line.error,
          axis,
          line.slopeRatio);
    }
  }

  private void appendRatio(StringBuilder table, String name) {
    DoubleSummaryStatistics ratios =
        rows.stream()
            .mapToDouble(row -> row.metric(name) / row.metric(REFERENCE_PREFIX + name))
            .filter(Double::isFinite)
            .summaryStatistics();
    if (ratios.getCount() > 0) {
      append(
          table,
          "%n  %-18s %.2f to %.2f of the reference proxy's",
          name,
          ratios.getMin(),
          ratios.getMax());
    }
  }

  private static void append(StringBuilder table, String format, Object... values) {
    table.append(String.format(Locale.ROOT, format, values));
  }

  private static int columnWidth(String name) {
    return Math.max(MIN_COLUMN_WIDTH, name.length());
  }

  private static String format(double value) {
    if (!Double.isFinite(value)) {
      return "-";
    }
    return String.format(
        Locale.ROOT, Math.abs(value) >= MIN_ROUNDED_VALUE ? "%.0f" : "%.3g", value);
  }
}
