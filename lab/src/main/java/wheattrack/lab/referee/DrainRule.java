package wheattrack.lab.referee;

import wheattrack.lab.referee.LedgerRecord.State;
import wheattrack.lab.scenario.Scenario;

/**
 * Judges {@link Rule#DRAINS}: no attempt goes to a backend that its proxy knows to be draining or
 * gone.
 */
final class DrainRule extends RuleChecker {
  /** How long after the notification an attempt may still arrive, in tenths of a millisecond. */
  private final long grace;

  private long longestDelay;

  DrainRule(RunState run, RuleViolations violations, long grace) {
    super(Rule.DRAINS, run, violations);
    this.grace = grace;
  }

  /** An attempt that arrives later than the grace after the notification violates the rule. */
  void judgeAttempt(LedgerRecord entry) {
    TrackedBackend backend = run().backend(entry.backend());
    State state = backend.stateAt(entry.proxy());
    if (state == null || state == State.READY) {
      return;
    }
    long delay = entry.at() - backend.stateSince(entry.proxy());
    longestDelay = Math.max(longestDelay, delay);
    if (delay > grace) {
      addViolation(
          entry.at(),
          "proxy "
              + entry.proxy()
              + " sent req "
              + entry.request()
              + " to backend "
              + entry.backend()
              + ", "
              + delay / Scenario.MILLISECOND
              + " ms after it was notified that the backend is "
              + state);
    }
  }

  /** The longest time from such a notification to an attempt, in tenths of a millisecond. */
  long longestDelay() {
    return longestDelay;
  }
}
