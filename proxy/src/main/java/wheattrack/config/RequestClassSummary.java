package wheattrack.config;

import java.util.TreeMap;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;

/**
 * What the policy needs to know of a set of request classes. It is updated as classes are added and
 * removed, so that no change costs a pass over all of them. Not thread-safe.
 */
final class RequestClassSummary {
  /** How many classes have each latency objective. */
  private final TreeMap<Long, Integer> countsByObjective = new TreeMap<>();

  private int idempotentCount;

  void add(RequestClass requestClass) {
    countsByObjective.merge(requestClass.latencyObjective(), 1, Integer::sum);
    if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
      idempotentCount++;
    }
  }

  /** Removes a class that was added before. */
  void remove(RequestClass requestClass) {
    countsByObjective.computeIfPresent(
        requestClass.latencyObjective(), (objective, count) -> count == 1 ? null : count - 1);
    if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
      idempotentCount--;
    }
  }

  void clear() {
    countsByObjective.clear();
    idempotentCount = 0;
  }

  /**
   * One class with the strictest latency objective of all, idempotent if any is; empty if there are
   * no classes.
   */
  RequestClass[] toArray() {
    if (countsByObjective.isEmpty()) {
      return new RequestClass[0];
    }
    long objective = countsByObjective.firstKey();
    Idempotency idempotency =
        idempotentCount > 0 ? Idempotency.IDEMPOTENT : Idempotency.NON_IDEMPOTENT;
    return new RequestClass[] {
      new RequestClass(0, objective, objective, idempotency, DeduplicationScope.ALL, 0, 1, 0, false)
    };
  }
}
