package wheattrack.lab.scale;

import java.util.List;
import java.util.Locale;

/** The measurements as one self-contained HTML page: a curve for each metric. */
final class CapacityReport {
  // Size of a curve and its margin, in pixels.
  private static final int WIDTH = 300;
  private static final int HEIGHT = 120;
  private static final int MARGIN = 8;

  /** The least value at the top of a curve, which avoids a division by zero. */
  private static final double MIN_TOP_VALUE = 1e-9;

  private CapacityReport() {}

  /** The page's text. */
  static String html(List<AxisMeasurements> axes) {
    StringBuilder html =
        new StringBuilder(
            "<!doctype html><meta charset=utf-8>"
                + "<title>lab scale</title><style>body{font:14px sans-serif}"
                + "figure{display:inline-block;margin:8px}svg{border:1px solid #ccc}"
                + "</style><h1>lab scale</h1>\n");
    for (AxisMeasurements axis : axes) {
      html.append("<h2>").append(axis.axis()).append(": ").append(axis.unit()).append("</h2>\n");
      axis.names().forEach(name -> appendCurve(html, name, axis.samples(name)));
      html.append("<pre>").append(axis.table()).append("</pre>\n");
    }
    return html.toString();
  }

  private static void appendCurve(
      StringBuilder html, String name, List<AxisMeasurements.Sample> samples) {
    double maxX = samples.stream().mapToDouble(AxisMeasurements.Sample::point).max().orElse(1);
    double maxY =
        Math.max(
            MIN_TOP_VALUE,
            samples.stream().mapToDouble(AxisMeasurements.Sample::value).max().orElse(1));
    StringBuilder points = new StringBuilder();
    for (AxisMeasurements.Sample sample : samples) {
      double x = MARGIN + sample.point() / maxX * WIDTH;
      double y = MARGIN + HEIGHT - Math.max(0, sample.value()) / maxY * HEIGHT;
      points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, y));
    }
    html.append(
        String.format(
            Locale.ROOT,
            "<figure><svg width=%d height=%d>"
                + "<polyline points='%s' fill=none stroke=#06c stroke-width=2 /></svg>"
                + "<figcaption>%s, up to %.4g at %.0f</figcaption></figure>%n",
            WIDTH + 2 * MARGIN,
            HEIGHT + 2 * MARGIN,
            points,
            name,
            maxY,
            maxX));
  }
}
