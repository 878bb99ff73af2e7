package wheattrack.lab.report;

import static wheattrack.lab.report.HtmlWriter.escaped;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;

/** A report on one or several runs of a scenario, as one self-contained HTML file. */
public final class HtmlReport {
  /** A run with the name of its curves in the plots, and its verdict. */
  public record Run(String name, Verdict verdict) {}

  private static final String STYLE =
      "<style>body{font:14px/1.45 system-ui,sans-serif;margin:2em"
          + " auto;max-width:960px;color:#222}h2{margin:1.6em 0"
          + " .3em;font-size:1.1em}table{border-collapse:collapse}td,th{padding:.15em"
          + " .8em;border-bottom:1px solid"
          + " #ddd;text-align:right}td:first-child,th:first-child{text-align:left}svg"
          + " text{font:11px system-ui,sans-serif;fill:#444}"
          + ".bad{color:#b00020;font-weight:600}</style>";

  private final HtmlWriter html = new HtmlWriter();
  private final List<Run> runs;
  private final Scenario scenario;
  private final double seconds;

  private HtmlReport(List<Run> runs) {
    this.runs = runs;
    scenario = runs.get(0).verdict().scenario();
    seconds = Scenario.toSeconds(scenario.duration());
  }

  /**
   * Writes the report of these runs, at least one.
   *
   * @throws IOException if the file can't be written
   */
  public static void write(Path file, List<Run> runs) throws IOException {
    Files.writeString(file, new HtmlReport(runs).text());
  }

  private String text() {
    addHead();
    addLegend();
    PlotArea area = new PlotArea(seconds);
    TimePlots timePlots = new TimePlots(html, runs, scenario, area);
    timePlots.addService();
    timePlots.addOutcomes();
    BackendPlots backendPlots = new BackendPlots(html, runs.get(0), area);
    backendPlots.addAttempts();
    backendPlots.addWork();
    new LatencyPlot(html, runs).add();
    ReportTables tables = new ReportTables(html, runs, scenario);
    tables.addMetrics();
    tables.addViolations();
    tables.addFaults();
    html.add("</html>\n");
    return html.toString();
  }

  private void addHead() {
    html.add(
        "<!DOCTYPE html><html lang='en'><meta charset='utf-8'><title>%s</title>",
        escaped(scenario.name()));
    html.add(STYLE);
    html.add(
        "<h1>%s</h1><p>%s. %s clock, %d proxies, %d backends, %s s.</p>",
        escaped(scenario.name()),
        escaped(scenario.description()),
        scenario.isVirtual() ? "Simulated on a virtual" : "On sockets by a real",
        scenario.proxyCount(),
        scenario.backendCount(),
        Verdict.format(seconds));
  }

  private void addLegend() {
    html.add("<p>");
    for (int i = 0; i < runs.size(); i++) {
      html.add(
          "<span style='color:%s'>&#9632;</span> %s &nbsp; ",
          PlotArea.colour(i), escaped(runs.get(i).name()));
    }
    html.add("<span style='color:#f3d9a6'>&#9632;</span> a fault is active</p>");
  }
}
