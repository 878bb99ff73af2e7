package wheattrack.lab.referee;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import wheattrack.lab.scenario.Metric;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Expectation;

/**
 * What the referee found of one run.
 *
 * @param metrics the metrics of the result line by name, in its order
 * @param violations the rule violations that are described, in order of finding
 * @param seconds the service of each second
 * @param attemptsByBackend attempts in each second, by the backend's index
 * @param workByBackend the work of the attempts that each backend got
 * @param totalsByProxy what each proxy did, by its index
 * @param faults the records of faults that began or ended
 * @param latency tenths of a millisecond from an operation's start to its success
 */
public record Verdict(
    Scenario scenario,
    Map<String, Double> metrics,
    List<RuleViolation> violations,
    List<ServiceSecond> seconds,
    Map<Integer, long[]> attemptsByBackend,
    Map<Integer, WorkQuantiles> workByBackend,
    Map<Integer, ProxyTotals> totalsByProxy,
    List<LedgerRecord> faults,
    Histogram latency) {
  /** Above this a metric is not shown as an integer. */
  private static final double MAX_WHOLE_NUMBER = 1e12;

  /** The value of a metric. */
  public double metric(Metric metric) {
    return metrics.get(metric.keyword());
  }

  /** The scenario's expectations that are not met. */
  public List<Expectation> unmetExpectations() {
    return scenario.expectations().stream()
        .filter(expectation -> !expectation.isMetBy(metrics.get(expectation.metric())))
        .toList();
  }

  /** Whether all expectations are met. */
  public boolean isGood() {
    return unmetExpectations().isEmpty();
  }

  /** The line that a run with this seed ends with. */
  public String resultLine(long seed) {
    StringBuilder line =
        new StringBuilder("RESULT ")
            .append(scenario.name())
            .append(" seed=")
            .append(seed)
            .append(" ok=")
            .append(isGood());
    metrics.forEach(
        (name, value) -> line.append(' ').append(name).append('=').append(format(value)));
    return line.toString();
  }

  /** A metric without more digits than it has meaning. */
  public static String format(double value) {
    if (value == Math.rint(value) && Math.abs(value) < MAX_WHOLE_NUMBER) {
      return Long.toString((long) value);
    }
    return String.format(Locale.ROOT, "%.4f", value);
  }
}
