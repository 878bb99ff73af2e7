package wheattrack.lab.referee;

import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.scenario.Scenario;

/** Judges {@link Rule#EFFECTS}: nothing is executed again that its class forbids. */
final class EffectRule extends RuleChecker {
  private final Scenario scenario;
  private double executedWork;
  private double repeatedWork;

  EffectRule(Scenario scenario, RunState run, RuleViolations violations) {
    super(Rule.EFFECTS, run, violations);
    this.scenario = scenario;
  }

  void judgeUnknownAttempt(LedgerRecord entry) {
    violate(
        entry.at(),
        "server "
            + entry.backend()
            + " got req "
            + entry.request()
            + ", which no client sent in this form");
  }

  /**
   * A rejection says that a new request does no harm: not so where the rejected one was executed
   * and must not be again.
   */
  void judgeRejection(TrackedRequest request, LedgerRecord entry) {
    RequestClass requestClass = run().requestClassOf(request);
    if (request.isExecuted() && requestClass != null && !mayRunAnywhere(requestClass)) {
      violate(entry.at(), "req " + entry.request() + " was denied, though it has run");
    }
  }

  private static boolean mayRunAnywhere(RequestClass requestClass) {
    return switch (requestClass.idempotency()) {
      case NON_IDEMPOTENT -> false;
      case IDEMPOTENT_WITH_KEY -> requestClass.deduplicationScope() == DeduplicationScope.ALL;
      default -> true;
    };
  }

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
      violate(
          entry.at(), "req " + entry.request() + " ran " + executions + " times and may only once");
    } else if (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
        && !isDeduplicated(request, requestClass, entry)) {
      violate(entry.at(), "req " + entry.request() + " ran again outside its group or window");
    }
  }

  private boolean isDeduplicated(
      TrackedRequest request, RequestClass requestClass, LedgerRecord entry) {
    return entry.arrivedAt() < request.firstArrivedAt() + requestClass.deduplicationWindow()
        && shareKeys(requestClass.deduplicationScope(), request.firstBackend(), entry.backend());
  }

  private boolean shareKeys(DeduplicationScope scope, int backend, int other) {
    return switch (scope) {
      case ZONE -> scenario.zoneOf(backend) == scenario.zoneOf(other);
      case CELL -> Scenario.cellOf(backend) == Scenario.cellOf(other);
      default -> true;
    };
  }

  /** The part of all executed work that was executed for a request once more. */
  double repeatedShare() {
    return executedWork > 0 ? repeatedWork / executedWork : 0;
  }
}
