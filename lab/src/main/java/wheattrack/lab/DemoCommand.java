package wheattrack.lab;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.referee.ProxyTotals;
import wheattrack.lab.referee.RuleViolation;
import wheattrack.lab.referee.ServiceSecond;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Metric;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;
import wheattrack.lab.sockets.SocketRun;

/**
 * The demo: two proxies, six backends and load on loopback. One backend is killed and restarted;
 * the referee judges the run.
 */
final class DemoCommand {
  private static final int BAR_WIDTH = 40;

  private DemoCommand() {}

  /** Runs the demo and prints its result. */
  static ExitCode run(ScenarioRunner.RunOptions options) throws IOException {
    Scenario scenario = ScenarioReader.read(ScenarioCatalog.find("demo"));
    printIntroduction(scenario);
    ScenarioRunner.SocketResult result =
        ScenarioRunner.runOnSockets(scenario, options, SocketRun.ProxyOptions.DEFAULT);
    Verdict verdict = result.verdict();
    System.out.println();
    printSeconds(scenario, verdict.seconds());
    System.out.println();
    verdict.totalsByProxy().forEach(DemoCommand::printProxy);
    for (RuleViolation violation : verdict.violations()) {
      System.out.println("broken, " + violation.rule() + ": " + violation.description());
    }
    printVerdict(verdict);
    System.out.println(verdict.resultLine(options.seed()));
    return result.exitCode();
  }

  private static void printIntroduction(Scenario scenario) {
    Fault kill = scenario.faults().get(0);
    System.out.println(
        "two proxies, six backends, a list and clients on 127.0.0.1: "
            + Verdict.format(scenario.load().rate())
            + " requests per second for "
            + scenario.duration() / Scenario.SECOND
            + " s;");
    System.out.println(
        "backend 0 is killed at "
            + kill.startsAt() / Scenario.SECOND
            + " s and comes back cold "
            + kill.duration() / Scenario.SECOND
            + " s later");
  }

  private static void printSeconds(Scenario scenario, List<ServiceSecond> seconds) {
    System.out.println("value done in time, by second");
    for (int i = 0; i < Math.min(seconds.size(), scenario.duration() / Scenario.SECOND); i++) {
      ServiceSecond second = seconds.get(i);
      double share = second.hasShare() ? second.earnedShare() : 1;
      System.out.printf(
          Locale.ROOT,
          "%4d s %-" + BAR_WIDTH + "s %3.0f%%%s%n",
          i,
          "#".repeat((int) Math.round(BAR_WIDTH * share)),
          100 * share,
          remark(scenario.faults().get(0), i));
    }
  }

  private static String remark(Fault kill, int second) {
    long killedAt = kill.startsAt() / Scenario.SECOND;
    if (second == killedAt) {
      return "  backend 0 is killed";
    }
    boolean isBack = second == killedAt + kill.duration() / Scenario.SECOND;
    return isBack ? "  backend 0 is back, cold" : "";
  }

  private static void printProxy(int index, ProxyTotals totals) {
    System.out.printf(
        Locale.ROOT,
        "proxy %d received %d requests: %d done, %d denied, %d aborted; attempts "
            + "at each backend (by index) %s%n",
        index,
        totals.accepted(),
        totals.answers(Answer.DONE),
        totals.answers(Answer.REJECTED),
        totals.answers(Answer.FAILED),
        totals.attemptsByBackend());
  }

  private static void printVerdict(Verdict verdict) {
    double broken = verdict.metric(Metric.BROKEN);
    System.out.println(
        "the referee: "
            + (broken == 0 ? "no rule was broken" : Verdict.format(broken) + " rules were broken")
            + "; "
            + String.format(Locale.ROOT, "%.1f", 100 * verdict.metric(Metric.SERVICE))
            + "% of the value was done in time, half within "
            + Verdict.format(verdict.metric(Metric.P50))
            + " ms, all but 1% within "
            + Verdict.format(verdict.metric(Metric.P99))
            + " ms");
  }
}
