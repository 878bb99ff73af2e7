package wheattrack.lab.report;

import static wheattrack.lab.report.PlotArea.HEIGHT;
import static wheattrack.lab.report.PlotArea.LAST_LABEL_MARGIN;
import static wheattrack.lab.report.PlotArea.LEFT;
import static wheattrack.lab.report.PlotArea.RIGHT;
import static wheattrack.lab.report.PlotArea.WIDTH;
import static wheattrack.lab.report.PlotArea.y;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.report.HtmlReport.Run;
import wheattrack.lab.report.HtmlWriter.Point;
import wheattrack.lab.scenario.Scenario;

/** Latency by percentile on a logarithmic axis, a curve for each run. */
final class LatencyPlot {
  private static final double MAX_PERCENTILE = 99.99;
  private static final double[] PERCENTILES = {
    0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, MAX_PERCENTILE
  };

  /** Where the axis begins, in milliseconds; a lower latency is drawn there. */
  private static final double MIN_MILLIS = 1;

  /** Where the axis ends at least, in milliseconds. */
  private static final double MIN_AXIS_END_MILLIS = 10;

  private final HtmlWriter html;
  private final List<Run> runs;
  private final double axisEndMillis;

  LatencyPlot(HtmlWriter html, List<Run> runs) {
    this.html = html;
    this.runs = runs;
    double max = MIN_AXIS_END_MILLIS;
    for (Run run : runs) {
      max = Math.max(max, millis(run.verdict().latency(), MAX_PERCENTILE));
    }
    axisEndMillis = max;
  }

  void add() {
    html.add(
        "<h2>Latency by percentile, from the start of an operation to its success (ms, logarithmic)</h2>");
    html.openDrawing(WIDTH, HEIGHT);
    for (double millis = MIN_MILLIS; millis <= axisEndMillis; millis *= 10) {
      double y = latencyY(millis);
      html.add(
          "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' stroke='#ddd'/>"
              + "<text x='%d' y='%.1f' text-anchor='end'>%s</text>",
          LEFT, RIGHT, y, y, LEFT - 6, y + 4, Verdict.format(millis));
    }
    for (int i = 0; i < PERCENTILES.length; i++) {
      html.add(
          "<text x='%.1f' y='%d' text-anchor='middle'>%s%%</text>",
          percentileX(i), HEIGHT - 6, label(PERCENTILES[i]));
    }
    for (int i = 0; i < runs.size(); i++) {
      addCurve(PlotArea.colour(i), runs.get(i).verdict().latency());
    }
    html.closeDrawing();
  }

  private void addCurve(String colour, Histogram latency) {
    List<Point> points = new ArrayList<>();
    for (int i = 0; i < PERCENTILES.length; i++) {
      double millis = Math.max(MIN_MILLIS, millis(latency, PERCENTILES[i]));
      points.add(new Point(percentileX(i), latencyY(millis)));
    }
    html.addCurve(colour, points);
  }

  private static double millis(Histogram latency, double percentile) {
    return Scenario.toMillis(latency.getValueAtPercentile(percentile));
  }

  private static double percentileX(int index) {
    double gap = (WIDTH - LEFT - LAST_LABEL_MARGIN) / (double) (PERCENTILES.length - 1);
    return LEFT + index * gap;
  }

  private double latencyY(double millis) {
    return y(Math.log(millis / MIN_MILLIS) / Math.log(axisEndMillis / MIN_MILLIS));
  }

  private static String label(double percentile) {
    return new BigDecimal(percentile)
        .setScale(2, RoundingMode.HALF_UP)
        .stripTrailingZeros()
        .toPlainString();
  }
}
