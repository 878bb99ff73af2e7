package wheattrack.lab.scale;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What was measured along one axis: a row of figures by name for each point. NaN: not had. */
public final class AxisMeasurements {
  /** One point. */
  public record Row(double point, Map<String, Double> figures) {}

  /**
   * Through the points: its slope with the standard error, and the last piece's slope to the
   * first's.
   */
  public record Line(double slope, double error, double bend) {}

  public final String axis, unit;
  public final List<Row> rows = new ArrayList<>();

  AxisMeasurements(String axis, String unit) {
    this.axis = axis;
    this.unit = unit;
  }

  /** A point's row, to be filled. */
  Map<String, Double> at(double point) {
    Map<String, Double> figures = new LinkedHashMap<>();
    rows.add(new Row(point, figures));
    return figures;
  }

  /** The names, in the order in which they were first met. */
  public List<String> names() {
    return rows.stream().flatMap(r -> r.figures.keySet().stream()).distinct().toList();
  }

  /** Through the points at which the figure was had; null with fewer than three. */
  public Line line(String name) {
    List<double[]> had =
        rows.stream()
            .map(r -> new double[] {r.point, r.figures.getOrDefault(name, Double.NaN)})
            .filter(xy -> Double.isFinite(xy[1]))
            .toList();
    int n = had.size();
    if (n < 3) {
      return null;
    }
    double mx = had.stream().mapToDouble(p -> p[0]).average().orElse(0);
    double my = had.stream().mapToDouble(p -> p[1]).average().orElse(0);
    double xx = had.stream().mapToDouble(p -> (p[0] - mx) * (p[0] - mx)).sum();
    double xy = had.stream().mapToDouble(p -> (p[0] - mx) * (p[1] - my)).sum();
    double slope = xy / xx;
    double rest = had.stream().mapToDouble(p -> Math.pow(p[1] - my - slope * (p[0] - mx), 2)).sum();
    double[] a = had.get(0), b = had.get(1), y = had.get(n - 2), z = had.get(n - 1);
    double first = (b[1] - a[1]) / (b[0] - a[0]), last = (z[1] - y[1]) / (z[0] - y[0]);
    return new Line(slope, Math.sqrt(rest / Math.max(1, n - 2) / xx), last / first);
  }

  /** As a table, with each figure's line below. */
  public String table() {
    List<String> names = names();
    StringBuilder out =
        new StringBuilder(String.format(Locale.ROOT, "%n%s (%s)%n%12s", axis, unit, "point"));
    names.forEach(name -> out.append(String.format(Locale.ROOT, " %" + width(name) + "s", name)));
    for (Row row : rows) {
      out.append(String.format(Locale.ROOT, "%n%12s", number(row.point)));
      names.forEach(
          name ->
              out.append(
                  String.format(
                      Locale.ROOT,
                      " %" + width(name) + "s",
                      number(row.figures.getOrDefault(name, Double.NaN)))));
    }
    for (String name : names) {
      Line line = line(name);
      if (line != null) {
        out.append(
            String.format(
                Locale.ROOT,
                "%n  %-18s slope %.4g ± %.2g by %s, last to first %.2f",
                name,
                line.slope,
                line.error,
                axis,
                line.bend));
      }
    }
    for (String name : names) {
      DoubleSummaryStatistics part =
          rows.stream()
              .map(Row::figures)
              .mapToDouble(
                  f -> f.getOrDefault(name, Double.NaN) / f.getOrDefault("w_" + name, Double.NaN))
              .filter(Double::isFinite)
              .summaryStatistics();
      if (part.getCount() > 0) {
        out.append(
            String.format(
                Locale.ROOT,
                "%n  %-18s %.2f to %.2f of the real one's",
                name,
                part.getMin(),
                part.getMax()));
      }
    }
    return out.append('\n').toString();
  }

  private static int width(String name) {
    return Math.max(8, name.length());
  }

  private static String number(double value) {
    return !Double.isFinite(value)
        ? "-"
        : Math.abs(value) >= 100
            ? String.format(Locale.ROOT, "%.0f", value)
            : String.format(Locale.ROOT, "%.3g", value);
  }
}
