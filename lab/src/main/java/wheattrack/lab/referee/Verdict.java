package wheattrack.lab.referee;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import wheattrack.lab.scenario.Metric;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Expectation;

/**
 * The referee's findings on one run.
 *
 * @param metrics the metrics of the RESULT line by name, in its order
 * @param violations the described rule violations, in the order in which they were found
 * @param seconds the service of each second
 * @param attemptsByBackend attempts in each second, by the backend's index
 * @param workByBackend the work of the attempts that arrived at each backend, by its index
 * @param totalsByProxy the counts of each proxy, by its index
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
  /** From this absolute value on a metric is shown with decimals. */
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
  public boolean meetsExpectations() {
    return unmetExpectations().isEmpty();
  }

  /** The RESULT line, which ends the output of a run with this seed. */
  public String resultLine(long seed) {
    StringBuilder line =
        new StringBuilder("RESULT ")
            .append(scenario.name())
            .append(" seed=")
            .append(seed)
            .append(" ok=")
            .append(meetsExpectations());
    metrics.forEach(
        (name, value) -> line.append(' ').append(name).append('=').append(format(value)));
    return line.toString();
  }

  /** Formats a metric: whole numbers without decimals, others with four. */
  public static String format(double value) {
    if (value == Math.rint(value) && Math.abs(value) < MAX_WHOLE_NUMBER) {
      return Long.toString((long) value);
    }
    return String.format(Locale.ROOT, "%.4f", value);
  }
}
