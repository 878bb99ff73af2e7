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

/** Plays a scenario, lets the referee judge it, and reports the verdict. */
final class ScenarioRunner {
  /**
   * How to play a scenario.
   *
   * @param seed seed of all random draws
   * @param outputDirectory where ledgers and reports are written, or null for none
   * @param policy the policy that is used on the virtual clock
   * @param proxyJar the proxies' jar on the real clock; may be null on the virtual clock
   */
  record RunOptions(long seed, Path outputDirectory, Policies.Kind policy, Path proxyJar) {}

  /**
   * The result of a run on sockets.
   *
   * @param verdict the referee's verdict
   * @param measurements how late the lab's own sends were, and other measurements of the load
   */
  record SocketResult(Verdict verdict, SocketRun.LoadMeasurements measurements) {
    ExitCode exitCode() {
      return measurements.isTooLate() ? ExitCode.INCONCLUSIVE : ScenarioRunner.exitCode(verdict);
    }
  }

  private static final double MICROS_PER_MILLI = 1000.0;

  private ScenarioRunner() {}

  /** Plays a scenario on the clock that it names and prints the verdict. */
  static ExitCode run(Scenario scenario, RunOptions options) throws IOException {
    if (options.outputDirectory != null) {
      Files.createDirectories(options.outputDirectory);
    }
    if (scenario.isVirtual()) {
      Verdict verdict = runVirtual(scenario, options);
      report(verdict, options);
      return exitCode(verdict);
    }
    SocketResult result = runOnSockets(scenario, options, SocketRun.ProxyOptions.DEFAULT);
    report(result.verdict, options);
    return result.exitCode();
  }

  private static ExitCode exitCode(Verdict verdict) {
    return verdict.meetsExpectations() ? ExitCode.SUCCESS : ExitCode.EXPECTATION_NOT_MET;
  }

  private static Verdict runVirtual(Scenario scenario, RunOptions options) throws IOException {
    if (options.outputDirectory == null) {
      return judgeVirtual(scenario, options.seed, options.policy);
    }
    Path ledger = options.outputDirectory.resolve("world.ledger");
    Files.deleteIfExists(ledger);
    try (LedgerWriter writer = new LedgerWriter(ledger, false)) {
      new VirtualRun(scenario, options.seed, options.policy, writer).run();
    }
    return judge(scenario, ledger);
  }

  /** Plays on the virtual clock and judges during the run, without a ledger on disk. */
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

  /** Plays on sockets, with a ledger on disk, and prints how late the lab's own sends were. */
  static SocketResult runOnSockets(
      Scenario scenario, RunOptions options, SocketRun.ProxyOptions proxyOptions)
      throws IOException {
    Path ledger =
        options.outputDirectory == null
            ? Files.createTempFile("wheattrack", ".ledger")
            : options.outputDirectory.resolve("sockets.ledger");
    Files.deleteIfExists(ledger);
    try {
      SocketRun.LoadMeasurements measurements =
          writeLedger(scenario, options, proxyOptions, ledger);
      Verdict verdict = judge(scenario, ledger);
      System.out.printf(
          Locale.ROOT,
          "the lab: sends late by %.2f ms at p50, %.2f at p99, %.2f at most; %d "
              + "connections of clients, %d requests sent again%n",
          latenessMillis(measurements, 50),
          latenessMillis(measurements, 99),
          latenessMillis(measurements, 100),
          measurements.openedConnections(),
          measurements.resentRequests());
      if (measurements.isTooLate()) {
        System.err.println(
            "wheattrack lab: no result: the machine was too busy to send the requests on time");
      }
      return new SocketResult(verdict, measurements);
    } finally {
      if (options.outputDirectory == null) {
        Files.deleteIfExists(ledger);
      }
    }
  }

  private static SocketRun.LoadMeasurements writeLedger(
      Scenario scenario, RunOptions options, SocketRun.ProxyOptions proxyOptions, Path ledger)
      throws IOException {
    try (LedgerWriter writer = new LedgerWriter(ledger, false);
        SocketRun run =
            new SocketRun(scenario, options.seed, options.proxyJar, proxyOptions, writer)) {
      SocketRun.LoadMeasurements measurements = run.run();
      if (options.outputDirectory != null) {
        run.copyLogs(options.outputDirectory);
      }
      return measurements;
    }
  }

  /** The lateness of the lab's own sends at this percentile, in milliseconds. */
  static double latenessMillis(SocketRun.LoadMeasurements measurements, double percentile) {
    return measurements.latenessMicros().getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private static void report(Verdict verdict, RunOptions options) throws IOException {
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
          "expectation not met: "
              + expectation.metric()
              + " "
              + (value == null ? "unknown" : Verdict.format(value))
              + ", expected "
              + expectation.comparison().sign()
              + " "
              + Verdict.format(expectation.bound()));
    }
    if (options.outputDirectory != null) {
      ResultLines.write(
          options.outputDirectory.resolve("result.jsonl"),
          verdict,
          options.seed,
          options.policy.keyword());
      HtmlReport.write(
          options.outputDirectory.resolve("report.html"),
          List.of(new HtmlReport.Run(options.policy.keyword(), verdict)));
    }
    System.out.println(verdict.resultLine(options.seed));
  }
}
