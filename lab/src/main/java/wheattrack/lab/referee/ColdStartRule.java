package wheattrack.lab.referee;

import wheattrack.lab.scenario.Scenario;

/** Judges {@link Rule#COLD}: informed proxies make no backend collapse while it warms up. */
final class ColdStartRule {
  private final Scenario scenario;
  private final RunState run;
  private final RuleViolations violations;
  private double peakLoad;
  private int collapses;

  ColdStartRule(Scenario scenario, RunState run, RuleViolations violations) {
    this.scenario = scenario;
    this.run = run;
    this.violations = violations;
  }

  /** Every attempt that reaches a cold backend counts, those that it refuses too. */
  void judgeAttempt(LedgerRecord entry) {
    TrackedBackend backend = run.backend(entry.backend());
    if (!backend.hasColdBudget()) {
      return;
    }
    Scenario.BackendGroup kind = scenario.groupOf(entry.backend());
    double age = entry.at() - backend.startedAt();
    if (age >= kind.coldDuration()) {
      return;
    }
    double warmth =
        kind.coldSpeed() + (1 - kind.coldSpeed()) * Math.max(0, age) / kind.coldDuration();
    ColdBudget budget = backend.coldBudget();
    boolean collapses =
        budget.add(
            entry.at(),
            entry.work(),
            backend.capacity() * warmth,
            backend.isStartKnownTo(entry.proxy()));
    peakLoad = Math.max(peakLoad, budget.peakLoad());
    if (collapses && !backend.hasCollapsed()) {
      backend.markCollapsed();
      this.collapses++;
      if (budget.isSendersFault()) {
        violations.add(
            Rule.COLD,
            entry.at(),
            "server "
                + entry.backend()
                + " was pushed over "
                + (long) age / 10
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
