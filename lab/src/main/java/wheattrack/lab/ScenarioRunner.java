package wheattrack.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import wheattrack.lab.referee.Ledger;
import wheattrack.lab.referee.LedgerWriter;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.RuleViolation;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.report.HtmlReport;
import wheattrack.lab.report.ResultLines;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Expectation;
import wheattrack.lab.sockets.SocketRun;
import wheattrack.lab.virtual.Policies;
import wheattrack.lab.virtual.VirtualRun;

/** Plays one scenario, has it judged, and reports the verdict. */
final class ScenarioRunner {
  /**
   * How to play it.
   *
   * @param outputDirectory where ledgers and reports are left, or null
   * @param policy who decides on the virtual clock
   * @param proxyJar the proxies' program on the real clock; may be null on the virtual one
   */
  record Job(long seed, Path outputDirectory, Policies.Kind policy, Path proxyJar) {}

  /** What came of a run on sockets: the verdict, and how punctual the lab itself was. */
  record SocketResult(Verdict verdict, SocketRun.Quality quality) {
    ExitCode exitCode() {
      return quality.isTooLate() ? ExitCode.INCONCLUSIVE : ScenarioRunner.exitCode(verdict);
    }
  }

  private ScenarioRunner() {}

  /** Plays it on the clock it names and prints the verdict. */
  static ExitCode run(Scenario scenario, Job job) throws IOException {
    if (job.outputDirectory != null) {
      Files.createDirectories(job.outputDirectory);
    }
    if (scenario.isVirtual()) {
      Verdict verdict = runVirtual(scenario, job);
      report(verdict, job);
      return exitCode(verdict);
    }
    SocketResult result = runOnSockets(scenario, job, SocketRun.ProxyOptions.DEFAULT);
    report(result.verdict, job);
    return result.exitCode();
  }

  private static ExitCode exitCode(Verdict verdict) {
    return verdict.isGood() ? ExitCode.GOOD : ExitCode.FELL_SHORT;
  }

  private static Verdict runVirtual(Scenario scenario, Job job) throws IOException {
    if (job.outputDirectory == null) {
      return judgeVirtual(scenario, job.seed, job.policy);
    }
    Path ledger = job.outputDirectory.resolve("world.ledger");
    Files.deleteIfExists(ledger);
    try (LedgerWriter writer = new LedgerWriter(ledger, false)) {
      new VirtualRun(scenario, job.seed, job.policy, writer).run();
    }
    return judge(scenario, ledger);
  }

  /** Plays on the virtual clock and judges at once, without a ledger on disk. */
  static Verdict judgeVirtual(Scenario scenario, long seed, Policies.Kind policy) {
    Referee referee = new Referee(scenario);
    new VirtualRun(scenario, seed, policy, referee).run();
    return referee.verdict();
  }

  private static Verdict judge(Scenario scenario, Path ledger) throws IOException {
    Referee referee = new Referee(scenario);
    Ledger.merge(List.of(ledger)).forEach(referee);
    return referee.verdict();
  }

  /** Plays on sockets, with a ledger on disk, and prints how punctual the lab itself was. */
  static SocketResult runOnSockets(Scenario scenario, Job job, SocketRun.ProxyOptions options)
      throws IOException {
    Path ledger =
        job.outputDirectory == null
            ? Files.createTempFile("wheattrack", ".ledger")
            : job.outputDirectory.resolve("sockets.ledger");
    Files.deleteIfExists(ledger);
    try {
      SocketRun.Quality quality = writeLedger(scenario, job, options, ledger);
      Verdict verdict = judge(scenario, ledger);
      System.out.printf(
          Locale.ROOT,
          "the lab: late by %.2f ms at p50, %.2f at p99, %.2f at most; %d "
              + "connections of clients, %d reqs sent once more%n",
          latenessMillis(quality, 50),
          latenessMillis(quality, 99),
          latenessMillis(quality, 100),
          quality.openedConnections(),
          quality.resentRequests());
      if (quality.isTooLate()) {
        System.err.println("wheattrack lab: the machine was too busy; the run says nothing");
      }
      return new SocketResult(verdict, quality);
    } finally {
      if (job.outputDirectory == null) {
        Files.deleteIfExists(ledger);
      }
    }
  }

  private static SocketRun.Quality writeLedger(
      Scenario scenario, Job job, SocketRun.ProxyOptions options, Path ledger) throws IOException {
    try (LedgerWriter writer = new LedgerWriter(ledger, false);
        SocketRun run = new SocketRun(scenario, job.seed, job.proxyJar, options, writer)) {
      SocketRun.Quality quality = run.run();
      if (job.outputDirectory != null) {
        run.keepLogs(job.outputDirectory);
      }
      return quality;
    }
  }

  /** By how many milliseconds the lab's own sends were late, at this percentile. */
  static double latenessMillis(SocketRun.Quality quality, double percentile) {
    return quality.latenessMicros().getValueAtPercentile(percentile) / 1000.0;
  }

  private static void report(Verdict verdict, Job job) throws IOException {
    for (RuleViolation violation : verdict.violations()) {
      System.out.printf(
          Locale.ROOT,
          "broken %8.3f s %s: %s%n",
          Scenario.toSeconds(violation.at()),
          violation.rule(),
          violation.description());
    }
    for (Expectation expectation : verdict.unmetExpectations()) {
      Double value = verdict.metrics().get(expectation.metric());
      System.out.println(
          "fell short: "
              + expectation.metric()
              + " "
              + (value == null ? "unknown" : Verdict.format(value))
              + ", expected "
              + expectation.comparison().sign()
              + " "
              + Verdict.format(expectation.bound()));
    }
    if (job.outputDirectory != null) {
      ResultLines.write(
          job.outputDirectory.resolve("result.jsonl"), verdict, job.seed, job.policy.keyword());
      HtmlReport.write(
          job.outputDirectory.resolve("report.html"),
          List.of(new HtmlReport.Run(job.policy.keyword(), verdict)));
    }
    System.out.println(verdict.resultLine(job.seed));
  }
}
