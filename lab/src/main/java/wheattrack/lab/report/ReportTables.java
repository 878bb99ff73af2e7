package wheattrack.lab.report;

import static wheattrack.lab.report.HtmlWriter.escaped;

import java.util.List;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.RuleViolation;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.report.HtmlReport.Run;
import wheattrack.lab.scenario.Scenario;

/** The tables and lists of a report: metrics, rule violations and faults. */
final class ReportTables {
  private final HtmlWriter html;
  private final List<Run> runs;
  private final Scenario scenario;

  ReportTables(HtmlWriter html, List<Run> runs, Scenario scenario) {
    this.html = html;
    this.runs = runs;
    this.scenario = scenario;
  }

  void addMetrics() {
    html.add("<h2>Metrics</h2><table><tr><th>metric</th>");
    runs.forEach(run -> html.add("<th>%s</th>", escaped(run.name())));
    html.add("<th>expected</th></tr>");
    for (String name : runs.get(0).verdict().metrics().keySet()) {
      html.add("<tr><td>%s</td>", escaped(name));
      runs.forEach(run -> addMetric(run.verdict(), name));
      html.add("<td>%s</td></tr>", escaped(expectation(name)));
    }
    html.add("</table>");
  }

  private void addMetric(Verdict verdict, String name) {
    Double value = verdict.metrics().get(name);
    boolean isUnmet =
        verdict.unmetExpectations().stream()
            .anyMatch(expectation -> expectation.metric().equals(name));
    html.add(
        "<td%s>%s</td>", isUnmet ? " class='bad'" : "", value == null ? "" : Verdict.format(value));
  }

  private String expectation(String name) {
    StringBuilder text = new StringBuilder();
    for (Scenario.Expectation expectation : scenario.expectations()) {
      if (expectation.metric().equals(name)) {
        text.append(expectation.comparison().sign())
            .append(' ')
            .append(Verdict.format(expectation.bound()));
      }
    }
    return text.toString();
  }

  void addViolations() {
    for (Run run : runs) {
      List<RuleViolation> violations = run.verdict().violations();
      if (!violations.isEmpty()) {
        html.add("<h2>Rule violations (%s)</h2><ul>", escaped(run.name()));
        for (RuleViolation violation : violations) {
          html.add(
              "<li>%.3f s, %s: %s</li>",
              Scenario.toSeconds(violation.at()),
              escaped(violation.rule().toString()),
              escaped(violation.description()));
        }
        html.add("</ul>");
      }
    }
  }

  void addFaults() {
    html.add("<h2>Faults</h2><ul>");
    for (LedgerRecord fault : runs.get(0).verdict().faults()) {
      html.add(
          "<li>%.3f s: %s %s</li>",
          Scenario.toSeconds(fault.at()),
          scenario.faults().get(fault.faultIndex()).kind().keyword(),
          fault.isBeginning() ? "begins" : "ends");
    }
    html.add("</ul>");
  }
}
