package wheattrack.lab.referee;

import java.util.HashMap;
import java.util.Map;
import wheattrack.lab.referee.LedgerRecord.State;

/** The state of a backend since its last start, and the state that each proxy was notified of. */
final class TrackedBackend {
  private long startedAt;
  private double capacity;
  private boolean isCold;
  private boolean hasCollapsed;
  private ColdBudget coldBudget;
  private final Map<Integer, State> stateByProxy = new HashMap<>();
  private final Map<Integer, Long> stateSinceByProxy = new HashMap<>();
  private final Map<Integer, Long> knownStartByProxy = new HashMap<>();

  /** Begins a new incarnation; budget: the load that it sustains while it is cold. */
  void start(long at, double warmCapacity, boolean asCold, ColdBudget budget) {
    startedAt = at;
    capacity = warmCapacity;
    isCold = asCold;
    hasCollapsed = false;
    coldBudget = budget;
  }

  /** A proxy was notified of this state and, if it is READY, of the backend's last start. */
  void notified(int proxy, long at, State state, long knownStart) {
    State previous = stateByProxy.put(proxy, state);
    if (previous != state) {
      stateSinceByProxy.put(proxy, at);
    }
    if (state == State.READY) {
      knownStartByProxy.put(proxy, knownStart);
    }
  }

  /** Forgets what a proxy was notified of; called when the proxy has started again. */
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

  /** Whether the proxy was notified of the latest start. */
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
