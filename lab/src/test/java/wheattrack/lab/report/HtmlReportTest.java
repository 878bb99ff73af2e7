package wheattrack.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheattrack.lab.ScenarioTexts;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.referee.Referee;

/** The HTML report of a run is complete, and its axis labels are in order. */
class HtmlReportTest {
  private static final Pattern VERTICAL_LABEL =
      Pattern.compile("stroke='#ddd'/><text x='\\d+' y='[\\d.]+' text-anchor='end'>([^<]*)</text>");

  @TempDir Path directory;

  /**
   * One rejection in the first second: the axis of service ends at 100%, that of rejections at 1.
   */
  @Test
  void axisLabelsAreInAscendingOrder() throws Exception {
    Referee referee = new Referee(ScenarioTexts.smallScenario("replayable", ""));
    referee.accept(LedgerRecord.operationStarted(0, 1, 0, 10));
    referee.accept(LedgerRecord.requestAccepted(0, 1, 1, 0, 9_000, 0));
    referee.accept(LedgerRecord.answered(100, 1, Answer.REJECTED));
    referee.accept(LedgerRecord.end(60_000));
    Path file = directory.resolve("report.html");
    HtmlReport.write(file, List.of(new HtmlReport.Run("rules", referee.verdict())));
    String html = Files.readString(file);
    assertTrue(html.endsWith("</html>\n"), "the report is incomplete");
    List<String> labels =
        VERTICAL_LABEL.matcher(html).results().map((MatchResult match) -> match.group(1)).toList();
    assertEquals(List.of("0", "50%", "100%", "0", "1"), labels.subList(0, 5));
  }
}
