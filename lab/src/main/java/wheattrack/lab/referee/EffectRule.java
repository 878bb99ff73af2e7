package wheattrack.lab.referee;

import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.scenario.Scenario;

/** Judges {@link Rule#EFFECTS}: no request is executed again where its class forbids it. */
final class EffectRule extends RuleChecker {
  private final Scenario scenario;
  private double executedWork;
  private double repeatedWork;

  EffectRule(Scenario scenario, RunState run, RuleViolations violations) {
    super(Rule.EFFECTS, run, violations);
    this.scenario = scenario;
  }

  void judgeUnknownAttempt(LedgerRecord entry) {
    addViolation(
        entry.at(),
        "backend "
            + entry.backend()
            + " got req "
            + entry.request()
            + ", but no proxy had accepted a request of this id");
  }

  /**
   * A rejection tells the client that it may safely send the request again. It is a violation if
   * the rejected request was executed and its class doesn't permit a second execution by any
   * backend.
   */
  void judgeRejection(TrackedRequest request, LedgerRecord entry) {
    RequestClass requestClass = run().requestClassOf(request);
    if (request.isExecuted() && requestClass != null && !mayBeExecutedAnywhere(requestClass)) {
      addViolation(
          entry.at(),
          "req "
              + entry.request()
              + " was rejected, but was executed and may not be executed again");
    }
  }

  /** Whether any backend may execute a request of this class again. */
  private static boolean mayBeExecutedAnywhere(RequestClass requestClass) {
    return switch (requestClass.idempotency()) {
      case NON_IDEMPOTENT -> false;
      case IDEMPOTENT_WITH_KEY -> requestClass.deduplicationScope() == DeduplicationScope.ALL;
      default -> true;
    };
  }

  /** Counts an execution, and judges it if it repeats another one or follows a rejection. */
  void judgeExecution(LedgerRecord entry) {
    executedWork += entry.work();
    TrackedRequest request = run().request(entry.request());
    if (request == null) {
      return;
    }
    int executions = request.countExecution(entry.backend(), entry.arrivedAt());
    if (executions > 1) {
      repeatedWork += entry.work();
      judgeRepetition(request, executions, entry);
    }
    if (request.answer() == Answer.REJECTED) {
      judgeRejection(request, entry);
    }
  }

  private void judgeRepetition(TrackedRequest request, int executions, LedgerRecord entry) {
    RequestClass requestClass = run().requestClassOf(request);
    if (requestClass == null) {
      return;
    }
    if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
      addViolation(
          entry.at(), "req " + entry.request() + ": expected 1 execution, got " + executions);
    } else if (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
        && !isDeduplicated(request, requestClass, entry)) {
      addViolation(
          entry.at(),
          "req "
              + entry.request()
              + " was executed again by backend "
              + entry.backend()
              + ", after backend "
              + request.firstBackend()
              + ", outside its deduplication scope or window");
    }
  }

  private boolean isDeduplicated(
      TrackedRequest request, RequestClass requestClass, LedgerRecord entry) {
    return entry.arrivedAt() < request.firstArrivedAt() + requestClass.deduplicationWindow()
        && shareKeys(requestClass.deduplicationScope(), request.firstBackend(), entry.backend());
  }

  /** Whether two backends deduplicate requests by the same set of keys. */
  private boolean shareKeys(DeduplicationScope scope, int backend, int other) {
    return switch (scope) {
      case ZONE -> scenario.zoneOf(backend) == scenario.zoneOf(other);
      case CELL -> Scenario.cellOf(backend) == Scenario.cellOf(other);
      default -> true;
    };
  }

  /** The share of the executed work that was spent on requests executed before. */
  double repeatedShare() {
    return executedWork > 0 ? repeatedWork / executedWork : 0;
  }
}
