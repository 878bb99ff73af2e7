package wheattrack.lab.referee;

import java.util.Map;
import wheattrack.lab.scenario.Scenario;

/** Judges {@link Rule#ANSWERS}: one final answer to each request, and nothing sent after it. */
final class AnswerRule extends RuleChecker {
  /**
   * Largest lateness that is no violation, in tenths of a millisecond: it covers the inaccuracy of
   * the lab's own clocks and sends.
   */
  private final long tolerance;

  private long lost;

  AnswerRule(RunState run, RuleViolations violations, long tolerance) {
    super(Rule.ANSWERS, run, violations);
    this.tolerance = tolerance;
  }

  void judgeDuplicateId(LedgerRecord entry) {
    addViolation(
        entry.at(), "req " + entry.request() + " was accepted twice, expected one request per id");
  }

  void judgeUnknownRequest(LedgerRecord entry) {
    addViolation(
        entry.at(), "req " + entry.request() + " was answered, but no proxy had accepted it");
  }

  /**
   * A connection ended without an answer: the request is lost unless the proxy was down or the
   * client had disconnected.
   */
  void judgeLostConnection(TrackedRequest request, LedgerRecord entry) {
    if (run().isProxyDown(request.proxy(), entry.at())) {
      request.waiveAnswer();
    }
    if (!request.isAnswerWaived() && !request.isDisconnected()) {
      lost++;
      addViolation(
          entry.at(), "req " + entry.request() + ": expected an answer, got the connection's end");
    }
    request.waiveAnswer();
  }

  /** Checks a final answer; returns whether it is the request's first. */
  boolean judgeAnswer(TrackedRequest request, LedgerRecord entry) {
    int answers = request.countAnswer();
    if (answers > 1) {
      addViolation(entry.at(), "req " + entry.request() + ": expected 1 answer, got " + answers);
      return false;
    }
    request.setAnswer(entry.answer(), entry.at());
    long lateness = entry.at() - request.deadline();
    if (lateness > tolerance) {
      addViolation(
          entry.at(),
          "req "
              + entry.request()
              + " was answered "
              + lateness / Scenario.MILLISECOND
              + " ms after its deadline");
    }
    return true;
  }

  /** An attempt that arrives after the request's answer or deadline violates the rule. */
  void judgeAttempt(TrackedRequest request, LedgerRecord entry) {
    long lateness = entry.at() - request.closedAt();
    if (lateness > tolerance) {
      addViolation(
          entry.at(),
          "req "
              + entry.request()
              + " was sent to backend "
              + entry.backend()
              + ", "
              + lateness / Scenario.MILLISECOND
              + " ms after its answer or deadline");
    }
  }

  /** Ends the run: a request without an answer whose deadline has passed is lost. */
  void finish(long lastAt) {
    for (Map.Entry<Long, TrackedRequest> entry : run().requests().entrySet()) {
      TrackedRequest request = entry.getValue();
      if (!request.isAnswered()
          && !request.isDisconnected()
          && !request.isAnswerWaived()
          && request.deadline() + tolerance < lastAt) {
        lost++;
        addViolation(request.deadline(), "req " + entry.getKey() + " was never answered");
      }
    }
  }

  /** Requests that were never answered although no fault of the timeline explains it. */
  long lost() {
    return lost;
  }
}
