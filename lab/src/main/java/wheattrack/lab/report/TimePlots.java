package wheattrack.lab.report;

import static wheattrack.lab.report.HtmlWriter.escaped;
import static wheattrack.lab.report.PlotArea.HEIGHT;
import static wheattrack.lab.report.PlotArea.LEFT;
import static wheattrack.lab.report.PlotArea.RIGHT;
import static wheattrack.lab.report.PlotArea.WIDTH;
import static wheattrack.lab.report.PlotArea.y;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import wheattrack.lab.referee.ServiceSecond;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.report.HtmlReport.Run;
import wheattrack.lab.report.HtmlWriter.Point;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/** The plots over time: a curve for each run, with the times of faults in the background. */
final class TimePlots {
  /**
   * A label of the vertical axis; the fraction is 0 at the lower end of the axis, 1 at the upper.
   */
  private record AxisLabel(double fractionOfHeight, String text) {}

  private final HtmlWriter html;
  private final List<Run> runs;
  private final Scenario scenario;
  private final PlotArea area;

  TimePlots(HtmlWriter html, List<Run> runs, Scenario scenario, PlotArea area) {
    this.html = html;
    this.runs = runs;
    this.scenario = scenario;
    this.area = area;
  }

  void addService() {
    open(
        "Service: value earned over value offered, by second",
        List.of(new AxisLabel(0, "0"), new AxisLabel(0.5, "50%"), new AxisLabel(1, "100%")));
    addCurves(ServiceSecond::hasShare, ServiceSecond::earnedShare);
    html.closeDrawing();
  }

  void addOutcomes() {
    double max = 1;
    for (Run run : runs) {
      int most = run.verdict().seconds().stream().mapToInt(TimePlots::unsuccessful).max().orElse(0);
      max = Math.max(max, most);
    }
    double top = max;
    open(
        "Rejected and failed requests by second",
        List.of(new AxisLabel(0, "0"), new AxisLabel(1, Verdict.format(top))));
    addCurves(second -> true, second -> unsuccessful(second) / top);
    html.closeDrawing();
  }

  private static int unsuccessful(ServiceSecond second) {
    return second.rejected() + second.failed();
  }

  /** Adds each run's curve through the seconds that are shown, at these fractions of the height. */
  private void addCurves(
      Predicate<ServiceSecond> isShown, ToDoubleFunction<ServiceSecond> fractionOfHeight) {
    for (int i = 0; i < runs.size(); i++) {
      List<ServiceSecond> all = runs.get(i).verdict().seconds();
      List<Point> points = new ArrayList<>();
      for (int s = 0; s < Math.min(all.size(), Math.ceil(area.seconds())); s++) {
        ServiceSecond second = all.get(s);
        if (isShown.test(second)) {
          points.add(new Point(area.x(s + 0.5), y(fractionOfHeight.applyAsDouble(second))));
        }
      }
      html.addCurve(PlotArea.colour(i), points);
    }
  }

  /**
   * Opens a plot with this title, the faults, these labels of the vertical axis and the time axis.
   */
  private void open(String title, List<AxisLabel> labels) {
    html.add("<h2>%s</h2>", escaped(title));
    html.openDrawing(WIDTH, HEIGHT);
    addFaults();
    for (AxisLabel label : labels) {
      double y = y(label.fractionOfHeight);
      html.add(
          "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' stroke='#ddd'/>"
              + "<text x='%d' y='%.1f' text-anchor='end'>%s</text>",
          LEFT, RIGHT, y, y, LEFT - 6, y + 4, label.text);
    }
    addTimeAxis();
  }

  private void addFaults() {
    for (int i = 0; i < scenario.faults().size(); i++) {
      Fault fault = scenario.faults().get(i);
      double from = Scenario.toSeconds(fault.startsAt());
      double length = Math.max(0.1, Scenario.toSeconds(fault.duration()));
      double until = Math.min(area.seconds(), from + length);
      double x = area.x(from);
      html.add(
          "<rect x='%.1f' y='10' width='%.1f' height='%d' fill='#f3d9a6' fill-opacity='.55'/>",
          x, Math.max(2, area.x(until) - x), PlotArea.CURVE_HEIGHT);
      html.add("<text x='%.1f' y='%d'>%s</text>", x + 2, 21 + 12 * (i % 4), fault.kind().keyword());
    }
  }

  private void addTimeAxis() {
    double step = labelStep(area.seconds());
    for (double second = 0; second <= area.seconds(); second += step) {
      boolean isLast = second + step > area.seconds();
      html.add(
          "<text x='%.1f' y='%d' text-anchor='%s'>%s s</text>",
          area.x(second), HEIGHT - 6, isLast ? "end" : "middle", Verdict.format(second));
    }
  }

  private static double labelStep(double seconds) {
    if (seconds > 60) {
      return 10;
    }
    if (seconds > 20) {
      return 5;
    }
    return seconds > 5 ? 2 : 1;
  }
}
