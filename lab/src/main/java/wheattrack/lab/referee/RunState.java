package wheattrack.lab.referee;

import java.util.HashMap;
import java.util.Map;
import wheattrack.api.RequestClass;
import wheattrack.lab.scenario.Scenario;

/** The state of operations, requests, backends and proxies according to the ledger so far. */
final class RunState {
  private final Scenario scenario;
  private final RequestClass[] requestClasses;
  private final Map<Long, TrackedOperation> operations = new HashMap<>();
  private final Map<Long, TrackedRequest> requests = new HashMap<>();
  private final Map<Integer, TrackedBackend> backends = new HashMap<>();
  private final Map<Integer, Long> killedAtByProxy = new HashMap<>();

  RunState(Scenario scenario) {
    this.scenario = scenario;
    requestClasses =
        scenario.workloads().stream()
            .map(Scenario.Workload::requestClass)
            .toArray(RequestClass[]::new);
  }

  void startOperation(LedgerRecord entry) {
    operations.put(
        entry.operation(), new TrackedOperation(entry.at(), entry.requestClass(), entry.value()));
  }

  int operationCount() {
    return operations.size();
  }

  /** The operation that a request belongs to, or null. */
  TrackedOperation operationOf(TrackedRequest request) {
    return operations.get(request.operation());
  }

  /** The class of the operation that a request belongs to, or null. */
  RequestClass requestClassOf(TrackedRequest request) {
    TrackedOperation operation = operationOf(request);
    return operation == null ? null : requestClassOf(operation);
  }

  RequestClass requestClassOf(TrackedOperation operation) {
    return requestClasses[operation.requestClass()];
  }

  /** Adds an accepted request; returns the earlier one of the same id, or null. */
  TrackedRequest acceptRequest(LedgerRecord entry) {
    return requests.put(
        entry.request(), new TrackedRequest(entry.operation(), entry.proxy(), entry.deadline()));
  }

  /** The request of this id, or null. */
  TrackedRequest request(long id) {
    return requests.get(id);
  }

  /** All requests by id. */
  Map<Long, TrackedRequest> requests() {
    return requests;
  }

  /** The backend of this index, which is added if it is new. */
  TrackedBackend backend(int index) {
    return backends.computeIfAbsent(index, i -> new TrackedBackend());
  }

  void startBackend(LedgerRecord entry) {
    backend(entry.backend())
        .start(entry.at(), entry.capacity(), entry.isCold(), scenario.coldBudget());
  }

  /** A proxy was killed: its unanswered requests need no answer, as the fault is the cause. */
  void killProxy(LedgerRecord entry) {
    killedAtByProxy.put(entry.proxy(), entry.at());
    for (TrackedRequest request : requests.values()) {
      if (request.proxy() == entry.proxy() && !request.isAnswered()) {
        request.waiveAnswer();
      }
    }
  }

  /** A proxy is up: it knows no backend until it is notified of the endpoint list. */
  void startProxy(LedgerRecord entry) {
    killedAtByProxy.remove(entry.proxy());
    backends.values().forEach(backend -> backend.forgetProxy(entry.proxy()));
  }

  boolean isProxyDown(int proxy, long at) {
    Long killedAt = killedAtByProxy.get(proxy);
    return killedAt != null && at >= killedAt;
  }
}
