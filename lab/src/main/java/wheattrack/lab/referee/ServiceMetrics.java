package wheattrack.lab.referee;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import wheattrack.api.RequestClass;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.scenario.Scenario;

/**
 * Measures the service of a run: value offered and earned, answers, latency, and the attempts of
 * each proxy to each backend.
 */
final class ServiceMetrics {
  /**
   * The most work of an attempt that is recorded, in tenths of a millisecond at speed 1; more
   * counts as this much.
   */
  private static final long MAX_WORK = 1_000_000;

  /** The highest latency that is recorded, ten minutes; a higher one counts as this much. */
  private static final long MAX_LATENCY = 600 * Scenario.SECOND;

  /** Significant decimal digits of recorded latencies. */
  private static final int LATENCY_DIGITS = 3;

  /** Significant decimal digits of recorded work. */
  private static final int WORK_DIGITS = 2;

  private final Scenario scenario;
  private final RunState run;
  private final List<ServiceSecond> seconds = new ArrayList<>();
  private final Map<Integer, long[]> attemptsByBackend = new TreeMap<>();
  private final Map<Integer, Histogram> workByBackend = new TreeMap<>();
  private final Map<Integer, ProxyTotals> totalsByProxy = new TreeMap<>();
  private final Histogram latency = new Histogram(MAX_LATENCY, LATENCY_DIGITS);
  private long attempts;
  private long crossZoneAttempts;
  private long done;
  private long rejected;
  private long failed;

  ServiceMetrics(Scenario scenario, RunState run) {
    this.scenario = scenario;
    this.run = run;
  }

  void countOperation(LedgerRecord entry) {
    second(entry.at()).addOffered(entry.value());
  }

  void countAccepted(int proxy) {
    proxy(proxy).countAccepted();
  }

  /** Counts the end of a request at its proxy: each answer and each lost connection. */
  void countEnding(TrackedRequest request, Answer answer) {
    proxy(request.proxy()).countAnswer(answer);
  }

  /** Counts a request's first final answer. */
  void countAnswer(TrackedRequest request, LedgerRecord entry) {
    second(entry.at()).countAnswer(entry.answer());
    switch (entry.answer()) {
      case DONE -> {
        done++;
        countDone(run.operationOf(request), entry.at());
      }
      case REJECTED -> rejected++;
      default -> failed++;
    }
  }

  private void countDone(TrackedOperation operation, long at) {
    if (operation == null || operation.isDone()) {
      return;
    }
    operation.markDone();
    long operationLatency = at - operation.startedAt();
    latency.recordValue(Math.min(latency.getHighestTrackableValue(), operationLatency));
    second(operation.startedAt()).addEarned(earnedValue(operation, operationLatency));
  }

  private double earnedValue(TrackedOperation operation, long operationLatency) {
    RequestClass requestClass = run.requestClassOf(operation);
    if (operationLatency <= requestClass.latencyObjective()) {
      return operation.value();
    }
    if (requestClass.priorityWeight() > 0) {
      return operation.value() * requestClass.lateWeight() / requestClass.priorityWeight();
    }
    return 0;
  }

  void countAttempt(LedgerRecord entry) {
    attempts++;
    workByBackend
        .computeIfAbsent(entry.backend(), backend -> new Histogram(MAX_WORK, WORK_DIGITS))
        .recordValue(Math.max(0, Math.min(MAX_WORK, Math.round(entry.work()))));
    proxy(entry.proxy()).countAttempt(entry.backend());
    second(entry.at()).countAttempt();
    if (scenario.zoneOf(entry.proxy()) != scenario.zoneOf(entry.backend())) {
      crossZoneAttempts++;
    }
    long[] bySecond =
        attemptsByBackend.computeIfAbsent(
            entry.backend(),
            backend -> new long[(int) (scenario.duration() / Scenario.SECOND) + 2]);
    bySecond[(int) Math.min(bySecond.length - 1, Math.max(0, entry.at() / Scenario.SECOND))]++;
  }

  private ServiceSecond second(long at) {
    int index = (int) Math.max(0, at / Scenario.SECOND);
    while (seconds.size() <= index) {
      seconds.add(new ServiceSecond());
    }
    return seconds.get(index);
  }

  private ProxyTotals proxy(int index) {
    return totalsByProxy.computeIfAbsent(index, proxy -> new ProxyTotals());
  }

  /**
   * Value earned over value offered in the seconds that begin in this time span; 1 if no value was
   * offered.
   */
  double service(long from, long until) {
    double offered = 0;
    double earned = 0;
    for (int i = 0; i < seconds.size(); i++) {
      long start = i * Scenario.SECOND;
      if (start >= from && start < until) {
        offered += seconds.get(i).valueOffered();
        earned += seconds.get(i).valueEarned();
      }
    }
    return offered > 0 ? earned / offered : 1;
  }

  /** The lowest earned share of the complete seconds of the run; 1 if no value was offered. */
  double worstSecond() {
    int completeSeconds = (int) (scenario.duration() / Scenario.SECOND);
    return seconds.stream()
        .limit(Math.max(1, completeSeconds))
        .filter(ServiceSecond::hasShare)
        .mapToDouble(ServiceSecond::earnedShare)
        .min()
        .orElse(1);
  }

  long attempts() {
    return attempts;
  }

  /** The share of the attempts that went to another zone than the proxy's. */
  double crossZoneShare() {
    return attempts > 0 ? (double) crossZoneAttempts / attempts : 0;
  }

  long done() {
    return done;
  }

  long rejected() {
    return rejected;
  }

  long failed() {
    return failed;
  }

  /** From the start of an operation to its success, in tenths of a millisecond. */
  Histogram latency() {
    return latency;
  }

  /** The latency in milliseconds that this percentage of the operations did not exceed. */
  double latencyMillis(double percentile) {
    return Scenario.toMillis(latency.getValueAtPercentile(percentile));
  }

  List<ServiceSecond> seconds() {
    return List.copyOf(seconds);
  }

  Map<Integer, long[]> attemptsByBackend() {
    return Collections.unmodifiableMap(attemptsByBackend);
  }

  Map<Integer, ProxyTotals> totalsByProxy() {
    return Collections.unmodifiableMap(totalsByProxy);
  }

  Map<Integer, WorkQuantiles> workByBackend() {
    Map<Integer, WorkQuantiles> quantiles = new TreeMap<>();
    workByBackend.forEach(
        (backend, work) ->
            quantiles.put(
                backend,
                new WorkQuantiles(
                    Scenario.toMillis(work.getValueAtPercentile(10)),
                    Scenario.toMillis(work.getValueAtPercentile(50)),
                    Scenario.toMillis(work.getValueAtPercentile(90)))));
    return quantiles;
  }
}
