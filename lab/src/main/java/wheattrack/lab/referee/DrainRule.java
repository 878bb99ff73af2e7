package wheattrack.lab.referee;

import wheattrack.lab.referee.LedgerRecord.State;
import wheattrack.lab.scenario.Scenario;

/** Judges {@link Rule#DRAINS}: no attempt to a backend that its proxy knows to drain or be gone. */
final class DrainRule extends RuleChecker {
  /** How long after the notification an attempt may still arrive. */
  private final long grace;

  private long latestArrival;

  DrainRule(RunState run, RuleViolations violations, long grace) {
    super(Rule.DRAINS, run, violations);
    this.grace = grace;
  }

  void judgeAttempt(LedgerRecord entry) {
    TrackedBackend backend = run().backend(entry.backend());
    State state = backend.stateAt(entry.proxy());
    if (state == null || state == State.READY) {
      return;
    }
    long delay = entry.at() - backend.stateSince(entry.proxy());
    latestArrival = Math.max(latestArrival, delay);
    if (delay > grace) {
      violate(
          entry.at(),
          "proxy "
              + entry.proxy()
              + " sent req "
              + entry.request()
              + " to server "
              + entry.backend()
              + " "
              + delay / Scenario.MILLISECOND
              + " ms after it was told that it is "
              + state);
    }
  }

  /** The longest time between a notification and an attempt that went against it. */
  long latestArrival() {
    return latestArrival;
  }
}
