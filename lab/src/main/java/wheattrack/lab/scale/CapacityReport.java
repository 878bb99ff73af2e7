package wheattrack.lab.scale;

import java.util.List;
import java.util.Locale;

/** The figures as one HTML page that needs nothing beside it: a curve each. */
final class CapacityReport {
  private static final int WIDE = 300, HIGH = 120, EDGE = 8;

  private CapacityReport() {}

  static String of(List<AxisMeasurements> all) {
    StringBuilder out =
        new StringBuilder(
            "<!doctype html><meta charset=utf-8>"
                + "<title>lab scale</title><style>body{font:14px sans-serif}"
                + "figure{display:inline-block;margin:8px}svg{border:1px solid #ccc}"
                + "</style><h1>lab scale</h1>\n");
    for (AxisMeasurements figures : all) {
      out.append("<h2>").append(figures.axis).append(": ").append(figures.unit).append("</h2>\n");
      figures.names().forEach(name -> curve(out, figures, name));
      out.append("<pre>").append(figures.table()).append("</pre>\n");
    }
    return out.toString();
  }

  private static void curve(StringBuilder out, AxisMeasurements figures, String name) {
    List<double[]> had =
        figures.rows.stream()
            .map(r -> new double[] {r.point(), r.figures().getOrDefault(name, Double.NaN)})
            .filter(p -> Double.isFinite(p[1]))
            .toList();
    double mostX = had.stream().mapToDouble(p -> p[0]).max().orElse(1);
    double mostY = Math.max(1e-9, had.stream().mapToDouble(p -> p[1]).max().orElse(1));
    StringBuilder line = new StringBuilder();
    had.forEach(
        p ->
            line.append(
                String.format(
                    Locale.ROOT,
                    "%.1f,%.1f ",
                    EDGE + p[0] / mostX * WIDE,
                    EDGE + HIGH - Math.max(0, p[1]) / mostY * HIGH)));
    out.append(
        String.format(
            Locale.ROOT,
            "<figure><svg width=%d height=%d>"
                + "<polyline points='%s' fill=none stroke=#06c stroke-width=2 /></svg>"
                + "<figcaption>%s, up to %.4g at %.0f</figcaption></figure>%n",
            WIDE + 2 * EDGE,
            HIGH + 2 * EDGE,
            line,
            name,
            mostY,
            mostX));
  }
}
