package wheattrack.lab.referee;

import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.lab.referee.LedgerRecord.Answer;

/** Judges {@link Rule#EFFECTS}: nothing is executed again that its class forbids. */
final class EffectRule {
  /** Backends of one cell in the lab's fleets. */
  private static final int BACKENDS_PER_CELL = 4;

  private final RunState run;
  private final RuleViolations violations;
  private final int zones;
  private double executedWork;
  private double repeatedWork;

  EffectRule(RunState run, RuleViolations violations, int zones) {
    this.run = run;
    this.violations = violations;
    this.zones = zones;
  }

  void judgeUnknownAttempt(LedgerRecord entry) {
    violate(
        entry,
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
    RequestClass requestClass = run.requestClassOf(request);
    if (request.isExecuted() && requestClass != null && !mayRunAnywhere(requestClass)) {
      violate(entry, "req " + entry.request() + " was denied, though it has run");
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
    TrackedRequest request = run.request(entry.request());
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
    RequestClass requestClass = run.requestClassOf(request);
    if (requestClass == null) {
      return;
    }
    if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
      violate(entry, "req " + entry.request() + " ran " + executions + " times and may only once");
    } else if (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
        && !isDeduplicated(request, requestClass, entry)) {
      violate(entry, "req " + entry.request() + " ran again outside its group or window");
    }
  }

  private boolean isDeduplicated(
      TrackedRequest request, RequestClass requestClass, LedgerRecord entry) {
    return entry.arrivedAt() < request.firstArrivedAt() + requestClass.deduplicationWindow()
        && shareKeys(requestClass.deduplicationScope(), request.firstBackend(), entry.backend());
  }

  private boolean shareKeys(DeduplicationScope scope, int backend, int other) {
    return switch (scope) {
      case ZONE -> backend % zones == other % zones;
      case CELL -> backend / BACKENDS_PER_CELL == other / BACKENDS_PER_CELL;
      default -> true;
    };
  }

  /** The part of all executed work that was executed for a request once more. */
  double repeatedShare() {
    return executedWork > 0 ? repeatedWork / executedWork : 0;
  }

  private void violate(LedgerRecord entry, String description) {
    violations.add(Rule.EFFECTS, entry.at(), description);
  }
}
