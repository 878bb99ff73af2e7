package wheattrack.lab.report;

import static wheattrack.lab.report.HtmlWriter.escaped;
import static wheattrack.lab.report.PlotArea.LAST_LABEL_MARGIN;
import static wheattrack.lab.report.PlotArea.LEFT;
import static wheattrack.lab.report.PlotArea.WIDTH;

import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.referee.WorkQuantiles;
import wheattrack.lab.report.HtmlReport.Run;

/** The plots of one run that have a row for each backend. */
final class BackendPlots {
  /** The least work on the logarithmic axis, in milliseconds; less is drawn at this place. */
  private static final double MIN_WORK = 0.1;

  /** Length of the axis of work, in pixels. */
  private static final int AXIS_LENGTH = WIDTH - LEFT - LAST_LABEL_MARGIN;

  /** Opacity of the cell of least attempts. */
  private static final double MIN_OPACITY = 0.08;

  /** Opacity that the cell of most attempts has in addition. */
  private static final double OPACITY_RANGE = 0.92;

  private final HtmlWriter html;
  private final Run run;
  private final PlotArea area;

  BackendPlots(HtmlWriter html, Run run, PlotArea area) {
    this.html = html;
    this.run = run;
    this.area = area;
  }

  /** Adds a row for each backend with a cell for each second, darker for more attempts. */
  void addAttempts() {
    Map<Integer, long[]> rows = run.verdict().attemptsByBackend();
    long max = rows.values().stream().flatMapToLong(Arrays::stream).max().orElse(1);
    int rowHeight = PlotArea.rowHeight(rows.size());
    html.add("<h2>Attempts by backend (%s); darkest: %d per second</h2>", escaped(run.name()), max);
    html.openDrawing(WIDTH, PlotArea.rowsHeight(rows.size()));
    int row = 0;
    for (Map.Entry<Integer, long[]> entry : rows.entrySet()) {
      PlotArea.addRowLabel(html, row, rowHeight, entry.getKey());
      addCells(entry.getValue(), PlotArea.rowTop(row, rowHeight), rowHeight, Math.max(1, max));
      row++;
    }
    html.closeDrawing();
  }

  private void addCells(long[] attempts, int top, int rowHeight, long max) {
    for (int s = 0; s < Math.min(attempts.length, area.seconds()); s++) {
      if (attempts[s] > 0) {
        html.add(
            "<rect x='%.1f' y='%d' width='%.1f' height='%d' fill='#1b6ca8' fill-opacity='%.2f'/>",
            area.x(s),
            top,
            area.x(s + 1) - area.x(s) - 0.5,
            rowHeight - 1,
            MIN_OPACITY + OPACITY_RANGE * attempts[s] / (double) max);
      }
    }
  }

  /**
   * Adds a bar for each backend from the 10th to the 90th percentile of work, the median marked.
   */
  void addWork() {
    Map<Integer, WorkQuantiles> rows = run.verdict().workByBackend();
    WorkAxis axis = WorkAxis.of(rows.values());
    int rowHeight = PlotArea.rowHeight(rows.size());
    int height = PlotArea.rowsHeight(rows.size());
    html.add(
        "<h2>Work of the attempts at each backend (%s), ms, logarithmic: 10th percentile, median,"
            + " 90th percentile</h2>",
        escaped(run.name()));
    html.openDrawing(WIDTH, height);
    int row = 0;
    for (Map.Entry<Integer, WorkQuantiles> entry : rows.entrySet()) {
      PlotArea.addRowLabel(html, row, rowHeight, entry.getKey());
      addWorkBar(entry.getValue(), axis, PlotArea.rowTop(row, rowHeight), rowHeight - 1);
      row++;
    }
    addWorkLabels(axis, height - 6);
    html.closeDrawing();
  }

  private void addWorkBar(WorkQuantiles work, WorkAxis axis, int top, int barHeight) {
    double left = axis.x(work.p10());
    double right = axis.x(work.p90());
    html.add(
        "<rect x='%.1f' y='%d' width='%.1f' height='%d' fill='#1b6ca8' fill-opacity='.45'/>",
        left, top, Math.max(1, right - left), barHeight);
    html.add(
        "<rect x='%.1f' y='%d' width='2' height='%d' fill='#0b3a5e'/>",
        axis.x(work.median()), top, barHeight);
  }

  private void addWorkLabels(WorkAxis axis, int y) {
    for (double work = MIN_WORK; work <= axis.high; work *= 10) {
      if (axis.shows(work)) {
        html.add(
            "<text x='%.1f' y='%d' text-anchor='middle'>%s ms</text>",
            axis.x(work), y, Verdict.format(work));
      }
    }
  }

  /**
   * A logarithmic axis of work in milliseconds.
   *
   * @param high the greatest work, at the right end
   * @param logLow the logarithm of the work at the left end
   * @param logRange the difference of the logarithms of both ends
   */
  private record WorkAxis(double high, double logLow, double logRange) {
    static WorkAxis of(Collection<WorkQuantiles> rows) {
      double low = rows.stream().mapToDouble(WorkQuantiles::p10).min().orElse(Double.MAX_VALUE);
      double high = rows.stream().mapToDouble(WorkQuantiles::p90).max().orElse(1);
      high = Math.max(1, high);
      double logLow = Math.log(Math.max(MIN_WORK, low));
      return new WorkAxis(high, logLow, Math.max(0.1, Math.log(high) - logLow));
    }

    boolean shows(double work) {
      return Math.log(work) >= logLow;
    }

    double x(double work) {
      return LEFT + (double) AXIS_LENGTH * (Math.log(Math.max(MIN_WORK, work)) - logLow) / logRange;
    }
  }
}
