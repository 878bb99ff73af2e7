package wheattrack.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import wheattrack.lab.referee.Ledger;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.report.HtmlReport;
import wheattrack.lab.report.ResultLines;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.sockets.SocketRun;
import wheattrack.lab.virtual.Policies;
import wheattrack.lab.virtual.VirtualRun;

/** Plays one scenario and says what came of it. */
final class ScenarioRunner {
  /** How to play it; out and jar may be null. */
  record Job(long seed, Path out, Policies.Kind policy, Path jar) {
    String policyWord() {
      return policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  private ScenarioRunner() {}

  /** Plays it on the clock it names, prints the verdict and gives the exit code. */
  static int run(Scenario scenario, Job job) throws IOException {
    if (job.out() != null) {
      Files.createDirectories(job.out());
    }
    if (scenario.isVirtual()) {
      Verdict verdict = virtual(scenario, job);
      tell(verdict, job);
      return verdict.isGood() ? 0 : 1;
    }
    Real real = real(scenario, job, SocketRun.ProxyOptions.DEFAULT);
    tell(real.verdict, job);
    return real.quality.isTooLate() ? 3 : real.verdict.isGood() ? 0 : 1;
  }

  private static Verdict virtual(Scenario scenario, Job job) throws IOException {
    Referee referee = new Referee(scenario);
    if (job.out() == null) {
      new VirtualRun(scenario, job.seed(), job.policy(), referee).run();
      return referee.verdict();
    }
    Path file = job.out().resolve("world.ledger");
    Files.deleteIfExists(file);
    try (Ledger.Out out = new Ledger.Out(file, false)) {
      new VirtualRun(scenario, job.seed(), job.policy(), out).run();
    }
    Ledger.merge(List.of(file)).forEach(referee);
    return referee.verdict();
  }

  /** What came of a run on sockets: the verdict, and how well the lab kept its own times. */
  record Real(Verdict verdict, SocketRun.Quality quality) {}

  /** Plays on sockets, by ledgers on disk as ever. */
  static Real real(Scenario scenario, Job job, SocketRun.ProxyOptions how) throws IOException {
    Path file =
        job.out() == null
            ? Files.createTempFile("wheattrack", ".ledger")
            : job.out().resolve("sockets.ledger");
    Files.deleteIfExists(file);
    try {
      SocketRun.Quality quality = sockets(scenario, job, how, file);
      Referee referee = new Referee(scenario);
      Ledger.merge(List.of(file)).forEach(referee);
      System.out.printf(
          Locale.ROOT,
          "the lab: late by %.2f ms at p50, %.2f at p99, %.2f at most; %d "
              + "connections of clients, %d reqs sent once more%n",
          micros(quality, 50),
          micros(quality, 99),
          micros(quality, 100),
          quality.openedConnections(),
          quality.resentRequests());
      if (quality.isTooLate()) {
        System.err.println("wheattrack lab: the machine was too busy; the run says nothing");
      }
      return new Real(referee.verdict(), quality);
    } finally {
      if (job.out() == null) {
        Files.deleteIfExists(file);
      }
    }
  }

  private static SocketRun.Quality sockets(
      Scenario scenario, Job job, SocketRun.ProxyOptions how, Path file) throws IOException {
    try (Ledger.Out out = new Ledger.Out(file, false);
        SocketRun sockets = new SocketRun(scenario, job.seed(), job.jar(), how, out)) {
      SocketRun.Quality quality = sockets.run();
      if (job.out() != null) {
        sockets.keepLogs(job.out());
      }
      return quality;
    }
  }

  private static double micros(SocketRun.Quality quality, double percentile) {
    return quality.latenessMicros().getValueAtPercentile(percentile) / 1000.0;
  }

  private static void tell(Verdict v, Job job) throws IOException {
    v.breaks()
        .forEach(
            b ->
                System.out.printf(
                    Locale.ROOT, "broken %8.3f s %s: %s%n", b.at() / 10_000.0, b.rule(), b.how()));
    v.shortfalls()
        .forEach(
            e ->
                System.out.println(
                    "fell short: "
                        + e.figure()
                        + " "
                        + (v.figures().containsKey(e.figure())
                            ? Verdict.text(v.figures().get(e.figure()))
                            : "unknown")
                        + ", expected "
                        + e.sign()
                        + " "
                        + Verdict.text(e.bound())));
    if (job.out() != null) {
      ResultLines.write(job.out().resolve("result.jsonl"), v, job.seed(), job.policyWord());
      HtmlReport.write(
          job.out().resolve("report.html"), List.of(new HtmlReport.Run(job.policyWord(), v)));
    }
    System.out.println(v.result(job.seed()));
  }
}
