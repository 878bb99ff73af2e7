package wheattrack.lab;

import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;
import wheattrack.lab.sockets.SocketRun;

/** Two proxies, six servers and load on loopback; a server is killed, and the referee judges. */
final class DemoCommand {
  private static final int WIDE = 40;

  private DemoCommand() {}

  static int run(ScenarioRunner.Job job) throws IOException {
    Scenario s = ScenarioReader.read(ScenarioCatalog.find("demo"));
    System.out.println(
        "two proxies, six servers, a list and clients on 127.0.0.1: "
            + Verdict.text(s.load().rate())
            + " reqs a second for "
            + s.duration() / Scenario.SECOND
            + " s;");
    System.out.println(
        "server 0 is killed at "
            + s.faults().get(0).startsAt() / Scenario.SECOND
            + " s and comes back cold "
            + s.faults().get(0).duration() / Scenario.SECOND
            + " s later");
    ScenarioRunner.Real real = ScenarioRunner.real(s, job, SocketRun.ProxyOptions.DEFAULT);
    Verdict v = real.verdict();
    System.out.println();
    System.out.println("value done in time, by second");
    for (int i = 0; i < Math.min(v.seconds().size(), s.duration() / Scenario.SECOND); i++) {
      Referee.Second one = v.seconds().get(i);
      double part = one.asked > 0 ? one.earned / one.asked : 1;
      System.out.printf(
          Locale.ROOT,
          "%4d s %-" + WIDE + "s %3.0f%%%s%n",
          i,
          "#".repeat((int) Math.round(WIDE * part)),
          100 * part,
          mark(s, i));
    }
    System.out.println();
    for (Map.Entry<Integer, Referee.ByProxy> e : v.byProxy().entrySet()) {
      Referee.ByProxy p = e.getValue();
      System.out.printf(
          Locale.ROOT,
          "proxy %d took %d reqs: %d done, %d denied, %d aborted; sent to "
              + "servers (by place) %s%n",
          e.getKey(),
          p.taken,
          p.ended[Answer.DONE.ordinal()],
          p.ended[Answer.DENIED.ordinal()],
          p.ended[Answer.ABORTED.ordinal()],
          p.sent);
    }
    v.breaks().forEach(b -> System.out.println("broken, " + b.rule() + ": " + b.how()));
    System.out.println(
        "the referee: "
            + (v.figures().get("broken") == 0
                ? "no rule was broken"
                : Verdict.text(v.figures().get("broken")) + " rules were broken")
            + "; "
            + String.format(Locale.ROOT, "%.1f", 100 * v.figures().get("service"))
            + "% of the value was done in time, half within "
            + Verdict.text(v.figures().get("p50"))
            + " ms, all but 1% within "
            + Verdict.text(v.figures().get("p99"))
            + " ms");
    System.out.println(v.result(job.seed()));
    return real.quality().isTooLate() ? 3 : v.isGood() ? 0 : 1;
  }

  private static String mark(Scenario s, int second) {
    long from = s.faults().get(0).startsAt() / Scenario.SECOND;
    long until = from + s.faults().get(0).duration() / Scenario.SECOND;
    return second == from
        ? "  server 0 is killed"
        : second == until ? "  server 0 is back, cold" : "";
  }
}
