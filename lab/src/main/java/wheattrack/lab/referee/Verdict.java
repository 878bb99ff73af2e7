package wheattrack.lab.referee;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Expectation;

/**
 * What the referee found of one run. Figures by name; byServer: dispatches by second and server's
 * place; work: ms at speed 1 of what each server got, a tenth lies below, half, nine tenths;
 * latency in tenths of a millisecond from a client's first try.
 */
public record Verdict(
    Scenario scenario,
    Map<String, Double> figures,
    List<Referee.Break> breaks,
    List<Referee.Second> seconds,
    Map<Integer, long[]> byServer,
    Map<Integer, double[]> work,
    Map<Integer, Referee.ByProxy> byProxy,
    List<LedgerRecord> faults,
    Histogram latency) {

  /** The expectations that do not hold. */
  public List<Expectation> shortfalls() {
    return scenario.expectations().stream()
        .filter(e -> !e.isMetBy(figures.get(e.figure())))
        .toList();
  }

  public boolean isGood() {
    return shortfalls().isEmpty();
  }

  /** The line a run ends with. */
  public String result(long seed) {
    StringBuilder out =
        new StringBuilder("RESULT ")
            .append(scenario.name())
            .append(" seed=")
            .append(seed)
            .append(" ok=")
            .append(isGood());
    figures.forEach((name, value) -> out.append(' ').append(name).append('=').append(text(value)));
    return out.toString();
  }

  /** A figure without more digits than it has meaning. */
  public static String text(double value) {
    if (value == Math.rint(value) && Math.abs(value) < 1e12) {
      return Long.toString((long) value);
    }
    return String.format(Locale.ROOT, "%.4f", value);
  }

  /** Dispatches by second, in order of the servers' places. */
  public Map<Integer, long[]> servers() {
    return new TreeMap<>(byServer);
  }
}
