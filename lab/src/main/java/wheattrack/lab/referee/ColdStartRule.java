package wheattrack.lab.referee;

import wheattrack.lab.scenario.Scenario;

/** Judges {@link Rule#COLD}: informed proxies make no backend collapse while it warms up. */
final class ColdStartRule extends RuleChecker {
  private final Scenario scenario;
  private double peakLoad;
  private int collapses;

  ColdStartRule(Scenario scenario, RunState run, RuleViolations violations) {
    super(Rule.COLD, run, violations);
    this.scenario = scenario;
  }

  /** Every attempt that reaches a cold backend counts, those that it refuses too. */
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
      if (budget.isSendersFault()) {
        violate(
            entry.at(),
            "server "
                + entry.backend()
                + " was pushed over "
                + age / Scenario.MILLISECOND
                + " ms after its start");
      }
    }
  }

  /**
   * The highest load of a cold backend, as a multiple of what it sustains without the allowance for
   * chance.
   */
  double peakLoad() {
    return peakLoad;
  }

  /** Backends that collapsed, whoever is at fault. */
  int collapses() {
    return collapses;
  }
}
