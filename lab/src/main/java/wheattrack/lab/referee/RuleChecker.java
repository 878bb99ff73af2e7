package wheattrack.lab.referee;

/** Checks one rule against the records of a run, and collects its violations. */
abstract class RuleChecker {
  private final Rule rule;
  private final RunState run;
  private final RuleViolations violations;

  RuleChecker(Rule rule, RunState run, RuleViolations violations) {
    this.rule = rule;
    this.run = run;
    this.violations = violations;
  }

  /** The state of the run according to the records so far. */
  final RunState run() {
    return run;
  }

  /** Adds a violation of the rule at this time of the run. */
  final void addViolation(long at, String description) {
    violations.add(rule, at, description);
  }
}
