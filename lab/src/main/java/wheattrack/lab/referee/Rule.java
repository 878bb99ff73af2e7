package wheattrack.lab.referee;

import wheattrack.lab.scenario.Metric;

/** The rules that a run is judged by, in the order of their metrics. */
public enum Rule {
  /** Each request has one final answer, by its deadline. */
  ANSWERS("answers", Metric.BROKEN_ANSWERS),
  /** No request has an effect that its class forbids. */
  EFFECTS("effects", Metric.BROKEN_EFFECTS),
  /** No attempt goes to a backend that its proxy knows to be draining or gone. */
  DRAINS("drains", Metric.BROKEN_DRAINS),
  /** No backend collapses while it warms up under load of proxies that know of its start. */
  COLD("cold", Metric.BROKEN_COLD);

  private final String keyword;
  private final Metric violationMetric;

  Rule(String keyword, Metric violationMetric) {
    this.keyword = keyword;
    this.violationMetric = violationMetric;
  }

  /** The metric that counts its violations. */
  Metric violationMetric() {
    return violationMetric;
  }

  /** The rule's name in metrics and reports. */
  @Override
  public String toString() {
    return keyword;
  }
}
