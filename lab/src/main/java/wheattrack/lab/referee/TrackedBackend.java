package wheattrack.lab.referee;

import java.util.HashMap;
import java.util.Map;
import wheattrack.lab.referee.LedgerRecord.State;

/** A backend since its last start, with what each proxy was notified of it. */
final class TrackedBackend {
  private long startedAt;
  private double capacity;
  private boolean isCold;
  private boolean hasCollapsed;
  private ColdBudget coldBudget;
  private final Map<Integer, State> stateByProxy = new HashMap<>();
  private final Map<Integer, Long> stateSinceByProxy = new HashMap<>();
  private final Map<Integer, Long> knownStartByProxy = new HashMap<>();

  /** Begins a new incarnation; coldBudget: the load it sustains while it is cold. */
  void start(long at, double warmCapacity, boolean asCold, ColdBudget budget) {
    startedAt = at;
    capacity = warmCapacity;
    isCold = asCold;
    hasCollapsed = false;
    coldBudget = budget;
  }

  /** A proxy was notified at that time of this state and, where it is ready, of its last start. */
  void notified(int proxy, long at, State state, long knownStart) {
    State previous = stateByProxy.put(proxy, state);
    if (previous != state) {
      stateSinceByProxy.put(proxy, at);
    }
    if (state == State.READY) {
      knownStartByProxy.put(proxy, knownStart);
    }
  }

  /** A proxy that has started again knows nothing until it is notified. */
  void forgetProxy(int proxy) {
    stateByProxy.remove(proxy);
    stateSinceByProxy.remove(proxy);
    knownStartByProxy.remove(proxy);
  }

  /** The state that the proxy knows, or null. */
  State stateAt(int proxy) {
    return stateByProxy.get(proxy);
  }

  /** Since when the proxy has known that state. */
  long stateSince(int proxy) {
    return stateSinceByProxy.get(proxy);
  }

  /** Whether the proxy was notified of the present start. */
  boolean isStartKnownTo(int proxy) {
    return knownStartByProxy.getOrDefault(proxy, Long.MIN_VALUE) >= startedAt;
  }

  long startedAt() {
    return startedAt;
  }

  /** Work per unit of time once it is warm. */
  double capacity() {
    return capacity;
  }

  /** Whether it started cold and its load is limited until it is warm. */
  boolean hasColdBudget() {
    return isCold && coldBudget != null;
  }

  ColdBudget coldBudget() {
    return coldBudget;
  }

  boolean hasCollapsed() {
    return hasCollapsed;
  }

  void markCollapsed() {
    hasCollapsed = true;
  }
}
