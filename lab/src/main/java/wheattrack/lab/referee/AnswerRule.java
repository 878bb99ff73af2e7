package wheattrack.lab.referee;

import java.util.Map;
import wheattrack.lab.scenario.Scenario;

/** Judges {@link Rule#ANSWERS}: one final answer to each request, and nothing sent after it. */
final class AnswerRule extends RuleChecker {
  /** How far the lab's own clocks and sends may be off. */
  private final long tolerance;

  private long lost;

  AnswerRule(RunState run, RuleViolations violations, long tolerance) {
    super(Rule.ANSWERS, run, violations);
    this.tolerance = tolerance;
  }

  void judgeDuplicateId(LedgerRecord entry) {
    violate(entry.at(), "req " + entry.request() + " was taken twice under one id");
  }

  void judgeUnknownRequest(LedgerRecord entry) {
    violate(entry.at(), "an answer to req " + entry.request() + ", which was never taken");
  }

  /** A connection ended without an answer: a loss unless the proxy was down or the client left. */
  void judgeLostConnection(TrackedRequest request, LedgerRecord entry) {
    if (run().isProxyDown(request.proxy(), entry.at())) {
      request.excuse();
    }
    if (!request.isExcused() && !request.isDisconnected()) {
      lost++;
      violate(entry.at(), "req " + entry.request() + ": its connection ended without an answer");
    }
    request.excuse();
  }

  /** Takes in a final answer; returns whether it is the request's first. */
  boolean judgeAnswer(TrackedRequest request, LedgerRecord entry) {
    int answers = request.countAnswer();
    if (answers > 1) {
      violate(entry.at(), "req " + entry.request() + " was answered " + answers + " times");
      return false;
    }
    request.setAnswer(entry.answer(), entry.at());
    long lateness = entry.at() - request.deadline();
    if (lateness > tolerance) {
      violate(
          entry.at(),
          "req "
              + entry.request()
              + " was answered "
              + lateness / Scenario.MILLISECOND
              + " ms past its due");
    }
    return true;
  }

  void judgeAttempt(TrackedRequest request, LedgerRecord entry) {
    long lateness = entry.at() - request.closedAt();
    if (lateness > tolerance) {
      violate(
          entry.at(),
          "req "
              + entry.request()
              + " was sent on "
              + lateness / 10
              + " ms after its answer or due");
    }
  }

  /** Ends the run: what has no answer by now although its deadline has passed is lost. */
  void finish(long lastAt) {
    for (Map.Entry<Long, TrackedRequest> entry : run().requests().entrySet()) {
      TrackedRequest request = entry.getValue();
      if (!request.isAnswered()
          && !request.isDisconnected()
          && !request.isExcused()
          && request.deadline() + tolerance < lastAt) {
        lost++;
        violate(request.deadline(), "req " + entry.getKey() + " was never answered");
      }
    }
  }

  /** Requests that were never answered, for no fault of the timeline. */
  long lost() {
    return lost;
  }
}
