package wheattrack.lab.referee;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.scenario.Metric;
import wheattrack.lab.scenario.Scenario;

/**
 * Judges a run by its ledger alone: checks the four rules and measures the service. Records have to
 * be given in order of time. It holds state for each request and backend, so an instance judges one
 * run only. Not thread-safe.
 */
public final class Referee implements Consumer<LedgerRecord> {
  private final Scenario scenario;
  private final RunState run;
  private final RuleViolations violations = new RuleViolations();
  private final AnswerRule answerRule;
  private final EffectRule effectRule;
  private final DrainRule drainRule;
  private final ColdStartRule coldStartRule;
  private final ServiceMetrics service;
  private final List<LedgerRecord> faults = new ArrayList<>();
  private long lastAt;

  /** Creates a referee for one run of this scenario. */
  public Referee(Scenario scenario) {
    this.scenario = scenario;
    long tolerance = scenario.terms().clockTolerance();
    long drainGrace = scenario.terms().drainGrace() + (scenario.isVirtual() ? 0 : tolerance);
    run = new RunState(scenario);
    answerRule = new AnswerRule(run, violations, tolerance);
    effectRule = new EffectRule(scenario, run, violations);
    drainRule = new DrainRule(run, violations, drainGrace);
    coldStartRule = new ColdStartRule(scenario, run, violations);
    service = new ServiceMetrics(scenario, run);
  }

  @Override
  public void accept(LedgerRecord entry) {
    lastAt = Math.max(lastAt, entry.at());
    switch (entry.kind()) {
      case OPERATION_STARTED -> {
        run.startOperation(entry);
        service.countOperation(entry);
      }
      case REQUEST_ACCEPTED -> acceptRequest(entry);
      case ANSWERED -> acceptAnswer(entry);
      case CLIENT_DISCONNECTED -> {
        TrackedRequest request = run.request(entry.request());
        if (request != null) {
          request.markDisconnected();
        }
      }
      case ATTEMPT_ARRIVED -> acceptAttempt(entry);
      case EXECUTION_STARTED -> effectRule.judgeExecution(entry);
      case ENDPOINT_NOTIFIED ->
          run.backend(entry.backend())
              .notified(entry.proxy(), entry.at(), entry.state(), entry.startedAt());
      case BACKEND_STARTED -> run.startBackend(entry);
      case PROXY_CHANGED -> {
        if (entry.isUp()) {
          run.startProxy(entry);
        } else {
          run.killProxy(entry);
        }
      }
      case FAULT_CHANGED -> faults.add(entry);
      default -> {
        // CLOCK and END belong to the format; collapses are found by the referee itself
      }
    }
  }

  private void acceptRequest(LedgerRecord entry) {
    service.countAccepted(entry.proxy());
    if (run.acceptRequest(entry) != null) {
      answerRule.judgeDuplicateId(entry);
    }
  }

  private void acceptAnswer(LedgerRecord entry) {
    TrackedRequest request = run.request(entry.request());
    if (request == null) {
      answerRule.judgeUnknownRequest(entry);
      return;
    }
    Answer answer = entry.answer();
    service.countEnding(request, answer);
    if (answer == Answer.CONNECTION_LOST) {
      answerRule.judgeLostConnection(request, entry);
      return;
    }
    if (!answerRule.judgeAnswer(request, entry)) {
      return;
    }
    service.countAnswer(request, entry);
    if (answer == Answer.REJECTED) {
      effectRule.judgeRejection(request, entry);
    }
  }

  private void acceptAttempt(LedgerRecord entry) {
    service.countAttempt(entry);
    TrackedRequest request = run.request(entry.request());
    if (request == null) {
      effectRule.judgeUnknownAttempt(entry);
    } else {
      answerRule.judgeAttempt(request, entry);
    }
    drainRule.judgeAttempt(entry);
    coldStartRule.judgeAttempt(entry);
  }

  /** Ends the run and returns the verdict; to be called once, after the last record. */
  public Verdict verdict() {
    answerRule.finish(lastAt);
    return new Verdict(
        scenario,
        metrics(),
        violations.described(),
        service.seconds(),
        service.attemptsByBackend(),
        service.workByBackend(),
        service.totalsByProxy(),
        List.copyOf(faults),
        service.latency());
  }

  /** Metrics by name, in the order of the RESULT line. */
  private Map<String, Double> metrics() {
    Map<String, Double> metrics = new LinkedHashMap<>();
    int violationCount = violations.counts().values().stream().mapToInt(count -> count).sum();
    metrics.put(Metric.BROKEN.keyword(), (double) violationCount);
    violations
        .counts()
        .forEach((rule, count) -> metrics.put(rule.violationMetric().keyword(), (double) count));
    metrics.put(Metric.SERVICE.keyword(), service.service(0, Long.MAX_VALUE));
    for (Scenario.Window window : scenario.windows()) {
      metrics.put(
          Metric.WINDOW_PREFIX + window.name(), service.service(window.from(), window.until()));
    }
    metrics.put(Metric.WORST_SECOND.keyword(), service.worstSecond());
    metrics.put(Metric.ASKED.keyword(), (double) run.operationCount());
    metrics.put(Metric.DONE.keyword(), (double) service.done());
    metrics.put(Metric.REJECTED.keyword(), (double) service.rejected());
    metrics.put(Metric.FAILED.keyword(), (double) service.failed());
    metrics.put(Metric.LOST.keyword(), (double) answerRule.lost());
    metrics.put(Metric.ATTEMPTS.keyword(), (double) service.attempts());
    metrics.put(Metric.REPEATED_WORK.keyword(), effectRule.repeatedShare());
    metrics.put(Metric.CROSSINGS.keyword(), service.crossZoneShare());
    metrics.put(Metric.P50.keyword(), service.latencyMillis(50));
    metrics.put(Metric.P99.keyword(), service.latencyMillis(99));
    metrics.put(Metric.P999.keyword(), service.latencyMillis(99.9));
    metrics.put(Metric.LATE_DRAIN.keyword(), Scenario.toMillis(drainRule.longestDelay()));
    metrics.put(Metric.COLD_LOAD.keyword(), coldStartRule.peakLoad());
    metrics.put(Metric.COLLAPSES.keyword(), (double) coldStartRule.collapses());
    return metrics;
  }
}
