package wheattrack.lab.referee;

import wheattrack.lab.scenario.Scenario;

/**
 * Judges {@link Rule#COLD}: proxies that know of a cold start make no backend collapse while it
 * warms up.
 */
final class ColdStartRule extends RuleChecker {
  private final Scenario scenario;
  private double peakLoad;
  private int collapses;

  ColdStartRule(Scenario scenario, RunState run, RuleViolations violations) {
    super(Rule.COLD, run, violations);
    this.scenario = scenario;
  }

  /** Every attempt that reaches a cold backend counts, including those that it rejects. */
  void judgeAttempt(LedgerRecord entry) {
    TrackedBackend backend = run().backend(entry.backend());
    if (!backend.hasColdBudget()) {
      return;
    }
    Scenario.BackendGroup group = scenario.groupOf(entry.backend());
    long age = entry.at() - backend.startedAt();
    if (age >= group.coldDuration()) {
      return;
    }
    ColdBudget budget = backend.coldBudget();
    boolean collapses =
        budget.add(
            entry.at(),
            entry.work(),
            backend.capacity() * group.speedFactorAt(Math.max(0, age)),
            backend.isStartKnownTo(entry.proxy()));
    peakLoad = Math.max(peakLoad, budget.peakLoad());
    if (collapses && !backend.hasCollapsed()) {
      backend.markCollapsed();
      this.collapses++;
      if (budget.isCausedByInformedSenders()) {
        addViolation(
            entry.at(),
            "backend "
                + entry.backend()
                + " collapsed "
                + age / Scenario.MILLISECOND
                + " ms after its cold start, under load of proxies that knew of the start");
      }
    }
  }

  /** The highest load of a cold backend, as a multiple of what it sustains without the margin. */
  double peakLoad() {
    return peakLoad;
  }

  /** Collapses of cold backends, including those that are no violation. */
  int collapses() {
    return collapses;
  }
}
