package wheattrack.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/** A run, or several of the same scenario, as one HTML file that needs nothing beside it. */
public final class HtmlReport {
  /** One line of the plots: its name and what was found. */
  public record Run(String name, Verdict verdict) {}

  private static final int WIDE = 900, HIGH = 220, LEFT = 56, BASE = 24;
  private static final String[] COLOURS = {"#1b6ca8", "#c0504d", "#5a8f3c", "#8064a2", "#d08a1e"};
  private static final double[] PERCENTILES = {0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99};

  private final StringBuilder out = new StringBuilder();
  private final List<Run> runs;
  private final Scenario scenario;
  private final double seconds;

  private HtmlReport(List<Run> runs) {
    this.runs = runs;
    scenario = runs.get(0).verdict().scenario();
    seconds = scenario.duration() / (double) Scenario.SECOND;
  }

  public static void write(Path file, List<Run> runs) throws IOException {
    Files.writeString(file, new HtmlReport(runs).text());
  }

  private String text() {
    add(
        "<!DOCTYPE html><html lang='en'><meta charset='utf-8'><title>%s</title>",
        escaped(scenario.name()));
    add(
        "<style>body{font:14px/1.45 system-ui,sans-serif;margin:2em"
            + " auto;max-width:960px;color:#222}h2{margin:1.6em 0"
            + " .3em;font-size:1.1em}table{border-collapse:collapse}td,th{padding:.15em"
            + " .8em;border-bottom:1px solid"
            + " #ddd;text-align:right}td:first-child,th:first-child{text-align:left}svg"
            + " text{font:11px system-ui,sans-serif;fill:#444}"
            + ".bad{color:#b00020;font-weight:600}</style>");
    add(
        "<h1>%s</h1><p>%s. %s clock, %d proxies, %d servers, %s s.</p>",
        escaped(scenario.name()),
        escaped(scenario.description()),
        scenario.isVirtual() ? "Simulated on a virtual" : "On sockets by a real",
        scenario.proxyCount(),
        scenario.backendCount(),
        Verdict.text(seconds));
    legend();
    service();
    outcomes();
    servers();
    intervals();
    latency();
    figures();
    breaks();
    add("</html>\n");
    return out.toString();
  }

  private void add(String format, Object... values) {
    out.append(String.format(Locale.ROOT, format, values));
  }

  private static String escaped(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("'", "&#39;");
  }

  private void legend() {
    add("<p>");
    for (int i = 0; i < runs.size(); i++) {
      add(
          "<span style='color:%s'>&#9632;</span> %s &nbsp; ",
          COLOURS[i % COLOURS.length], escaped(runs.get(i).name()));
    }
    add("<span style='color:#f3d9a6'>&#9632;</span> a fault holds</p>");
  }

  private double x(double second) {
    return LEFT + (WIDE - LEFT - 10) * second / Math.max(1, seconds);
  }

  private double y(double part) {
    return HIGH - BASE - (HIGH - BASE - 10) * Math.max(0, Math.min(1.02, part));
  }

  /**
   * The plot's frame with faults behind it; labels of the upright axis at these parts of its
   * height.
   */
  private void open(String title, Map<Double, String> labels) {
    add(
        "<h2>%s</h2><svg viewBox='0 0 %d %d' width='%d' height='%d' role='img'>",
        escaped(title), WIDE, HIGH, WIDE, HIGH);
    for (int i = 0; i < scenario.faults().size(); i++) {
      Fault f = scenario.faults().get(i);
      double from = f.startsAt() / (double) Scenario.SECOND;
      double until =
          Math.min(seconds, from + Math.max(0.1, f.duration() / (double) Scenario.SECOND));
      add(
          "<rect x='%.1f' y='10' width='%.1f' height='%d' fill='#f3d9a6' fill-opacity='.55'/>",
          x(from), Math.max(2, x(until) - x(from)), HIGH - BASE - 10);
      add("<text x='%.1f' y='%d'>%s</text>", x(from) + 2, 21 + 12 * (i % 4), f.kind().word());
    }
    labels.forEach(
        (part, label) ->
            add(
                "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' stroke='#ddd'/>"
                    + "<text x='%d' y='%.1f' text-anchor='end'>%s</text>",
                LEFT, WIDE - 10, y(part), y(part), LEFT - 6, y(part) + 4, label));
    double step = seconds > 60 ? 10 : seconds > 20 ? 5 : seconds > 5 ? 2 : 1;
    for (double s = 0; s <= seconds; s += step) {
      add(
          "<text x='%.1f' y='%d' text-anchor='%s'>%s s</text>",
          x(s), HIGH - 6, s + step > seconds ? "end" : "middle", Verdict.text(s));
    }
  }

  private void line(String colour, List<double[]> points) {
    add("<polyline fill='none' stroke='%s' stroke-width='1.8' points='", colour);
    points.forEach(p -> add("%.1f,%.1f ", p[0], p[1]));
    add("'/>");
  }

  private void service() {
    open(
        "Service: value done within the target over value asked for",
        Map.of(0.0, "0", 0.5, "50%%".replace("%%", "%"), 1.0, "100%"));
    for (int i = 0; i < runs.size(); i++) {
      List<Referee.Second> all = runs.get(i).verdict().seconds();
      List<double[]> points = new ArrayList<>();
      for (int s = 0; s < Math.min(all.size(), Math.ceil(seconds)); s++) {
        if (all.get(s).asked > 0) {
          points.add(new double[] {x(s + 0.5), y(all.get(s).earned / all.get(s).asked)});
        }
      }
      line(COLOURS[i % COLOURS.length], points);
    }
    add("</svg>");
  }

  private void outcomes() {
    double most = 1;
    for (Run run : runs) {
      most =
          Math.max(
              most,
              run.verdict().seconds().stream().mapToInt(s -> s.denied + s.aborted).max().orElse(0));
    }
    double top = most;
    open("Denied and aborted by second", Map.of(0.0, "0", 1.0, Verdict.text(top)));
    for (int i = 0; i < runs.size(); i++) {
      List<Referee.Second> all = runs.get(i).verdict().seconds();
      List<double[]> points = new ArrayList<>();
      for (int s = 0; s < Math.min(all.size(), Math.ceil(seconds)); s++) {
        points.add(new double[] {x(s + 0.5), y((all.get(s).denied + all.get(s).aborted) / top)});
      }
      line(COLOURS[i % COLOURS.length], points);
    }
    add("</svg>");
  }

  /** A row a server, a cell a second: the darker the more dispatches came. Of the first run. */
  private void servers() {
    Map<Integer, long[]> rows = runs.get(0).verdict().servers();
    long most = rows.values().stream().flatMapToLong(java.util.Arrays::stream).max().orElse(1);
    int high = Math.max(4, Math.min(14, 420 / Math.max(1, rows.size())));
    int tall = rows.size() * high + BASE + 10;
    add(
        "<h2>Dispatches by server (%s); darkest: %d a second</h2>",
        escaped(runs.get(0).name()), most);
    add("<svg viewBox='0 0 %d %d' width='%d' height='%d' role='img'>", WIDE, tall, WIDE, tall);
    int row = 0;
    for (Map.Entry<Integer, long[]> e : rows.entrySet()) {
      int top = 6 + row * high;
      if (high >= 10 || row % 10 == 0) {
        add(
            "<text x='%d' y='%d' text-anchor='end'>%d</text>",
            LEFT - 6, top + high - 2, e.getKey());
      }
      for (int s = 0; s < Math.min(e.getValue().length, seconds); s++) {
        if (e.getValue()[s] > 0) {
          add(
              "<rect x='%.1f' y='%d' width='%.1f' height='%d' fill='#1b6ca8' fill-opacity='%.2f'/>",
              x(s),
              top,
              x(s + 1) - x(s) - 0.5,
              high - 1,
              0.08 + 0.92 * e.getValue()[s] / (double) Math.max(1, most));
        }
      }
      row++;
    }
    add("</svg>");
  }

  /** A row a server: the work of the middle eight tenths of what it got, its median marked. */
  private void intervals() {
    Map<Integer, double[]> rows = runs.get(0).verdict().work();
    double low = Double.MAX_VALUE, high = 1;
    for (double[] row : rows.values()) {
      low = Math.min(low, row[0]);
      high = Math.max(high, row[2]);
    }
    double from = Math.log(Math.max(0.1, low)), wide = Math.max(0.1, Math.log(high) - from);
    int thick = Math.max(4, Math.min(14, 420 / Math.max(1, rows.size())));
    int tall = rows.size() * thick + BASE + 10;
    add(
        "<h2>Work of what each server got (%s), ms, logarithmic: a tenth below, the median, a tenth"
            + " above</h2><svg viewBox='0 0 %d %d' width='%d' height='%d' role='img'>",
        escaped(runs.get(0).name()), WIDE, tall, WIDE, tall);
    int row = 0;
    double span = WIDE - LEFT - 30;
    for (Map.Entry<Integer, double[]> e : rows.entrySet()) {
      int top = 6 + row * thick;
      double a = LEFT + span * (Math.log(Math.max(0.1, e.getValue()[0])) - from) / wide;
      double m = LEFT + span * (Math.log(Math.max(0.1, e.getValue()[1])) - from) / wide;
      double b = LEFT + span * (Math.log(Math.max(0.1, e.getValue()[2])) - from) / wide;
      if (thick >= 10 || row % 10 == 0) {
        add(
            "<text x='%d' y='%d' text-anchor='end'>%d</text>",
            LEFT - 6, top + thick - 2, e.getKey());
      }
      add(
          "<rect x='%.1f' y='%d' width='%.1f' height='%d' fill='#1b6ca8' fill-opacity='.45'/>",
          a, top, Math.max(1, b - a), thick - 1);
      add("<rect x='%.1f' y='%d' width='2' height='%d' fill='#0b3a5e'/>", m, top, thick - 1);
      row++;
    }
    for (double v = 0.1; v <= high; v *= 10) {
      if (Math.log(v) >= from) {
        add(
            "<text x='%.1f' y='%d' text-anchor='middle'>%s ms</text>",
            LEFT + span * (Math.log(v) - from) / wide, tall - 6, Verdict.text(v));
      }
    }
    add("</svg>");
  }

  private void latency() {
    double most = 1;
    for (Run run : runs) {
      most = Math.max(most, run.verdict().latency().getValueAtPercentile(99.99) / 10.0);
    }
    double low = 1, high = Math.max(10, most);
    add("<h2>Latency by percentile, from a client's first try (ms, logarithmic)</h2>");
    add("<svg viewBox='0 0 %d %d' width='%d' height='%d' role='img'>", WIDE, HIGH, WIDE, HIGH);
    for (double v = 1; v <= high; v *= 10) {
      double at = y(Math.log(v / low) / Math.log(high / low));
      add(
          "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' stroke='#ddd'/>"
              + "<text x='%d' y='%.1f' text-anchor='end'>%s</text>",
          LEFT, WIDE - 10, at, at, LEFT - 6, at + 4, Verdict.text(v));
    }
    double gap = (WIDE - LEFT - 30) / (double) (PERCENTILES.length - 1);
    for (int p = 0; p < PERCENTILES.length; p++) {
      add(
          "<text x='%.1f' y='%d' text-anchor='middle'>%s%%</text>",
          LEFT + p * gap,
          HIGH - 6,
          new java.math.BigDecimal(PERCENTILES[p])
              .setScale(2, java.math.RoundingMode.HALF_UP)
              .stripTrailingZeros()
              .toPlainString());
    }
    for (int i = 0; i < runs.size(); i++) {
      List<double[]> points = new ArrayList<>();
      for (int p = 0; p < PERCENTILES.length; p++) {
        double v =
            Math.max(
                low, runs.get(i).verdict().latency().getValueAtPercentile(PERCENTILES[p]) / 10.0);
        points.add(new double[] {LEFT + p * gap, y(Math.log(v / low) / Math.log(high / low))});
      }
      line(COLOURS[i % COLOURS.length], points);
    }
    add("</svg>");
  }

  private void figures() {
    add("<h2>Figures</h2><table><tr><th>figure</th>");
    runs.forEach(run -> add("<th>%s</th>", escaped(run.name())));
    add("<th>expected</th></tr>");
    for (String name : runs.get(0).verdict().figures().keySet()) {
      String wanted = "";
      for (Scenario.Expectation e : scenario.expectations()) {
        wanted += e.figure().equals(name) ? e.sign() + " " + Verdict.text(e.bound()) : "";
      }
      add("<tr><td>%s</td>", escaped(name));
      for (Run run : runs) {
        Double value = run.verdict().figures().get(name);
        boolean bad = run.verdict().shortfalls().stream().anyMatch(e -> e.figure().equals(name));
        add("<td%s>%s</td>", bad ? " class='bad'" : "", value == null ? "" : Verdict.text(value));
      }
      add("<td>%s</td></tr>", escaped(wanted));
    }
    add("</table>");
  }

  private void breaks() {
    for (Run run : runs) {
      if (!run.verdict().breaks().isEmpty()) {
        add("<h2>Rules broken (%s)</h2><ul>", escaped(run.name()));
        run.verdict()
            .breaks()
            .forEach(
                b ->
                    add(
                        "<li>%.3f s, %s: %s</li>",
                        b.at() / 10_000.0, escaped(b.rule()), escaped(b.how())));
        add("</ul>");
      }
    }
    List<LedgerRecord> faults = runs.get(0).verdict().faults();
    add("<h2>Faults as played</h2><ul>");
    faults.forEach(
        e ->
            add(
                "<li>%.3f s: %s %s</li>",
                e.at() / 10_000.0,
                scenario.faults().get((int) e.time()).kind().word(),
                e.code() == 1 ? "begins" : "ends"));
    add("</ul>");
  }
}
