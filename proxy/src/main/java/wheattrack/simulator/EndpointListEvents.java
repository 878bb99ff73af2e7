package wheattrack.simulator;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.LoadBalancer;
import wheattrack.core.BackendIndex;

/** Passes endpoint lists of the simulator to the policy. */
final class EndpointListEvents {
  private final BackendIndex<Long, ListedBackend> backends;
  private final LoadBalancer loadBalancer;

  EndpointListEvents(BackendIndex<Long, ListedBackend> backends, LoadBalancer loadBalancer) {
    this.backends = backends;
    this.loadBalancer = loadBalancer;
  }

  /**
   * Passes one list to the policy.
   *
   * @param mode what the records are: changes, a snapshot, a snapshot that is known to be current,
   *     or nothing, as discovery has failed
   * @param records the records as parsed from JSON
   * @throws InvalidInputException if the mode is unknown or a record names no backend
   */
  void update(String mode, List<?> records) throws InvalidInputException {
    switch (mode) {
      case SimulatorProtocol.LIST_FAILED -> loadBalancer.endpointListFailed(false);
      case SimulatorProtocol.LIST_CHANGES -> updateAll(records, false);
      case SimulatorProtocol.LIST_SNAPSHOT -> {
        removeUnnamed(records);
        updateAll(records, false);
      }
      case SimulatorProtocol.LIST_CURRENT_SNAPSHOT -> {
        removeUnnamed(records);
        updateAll(records, true);
      }
      default -> throw new InvalidInputException("unknown list mode " + mode);
    }
  }

  private void updateAll(List<?> records, boolean isCurrent) throws InvalidInputException {
    for (Object record : records) {
      updateBackend(BackendRecord.of(record));
    }
    loadBalancer.endpointListUpdated(isCurrent);
  }

  private void removeUnnamed(List<?> records) throws InvalidInputException {
    Set<Long> namedIds = new HashSet<>();
    for (Object record : records) {
      namedIds.add(BackendRecord.of(record).id());
    }
    for (ListedBackend backend : backends.listedExcept(namedIds)) {
      removeBackend(backend);
    }
  }

  private void removeBackend(ListedBackend backend) {
    if (backends.markUnlisted(backend)) {
      loadBalancer.removeBackend(backend.index());
    }
  }

  private void updateBackend(BackendRecord listed) {
    if (listed.isRemoved()) {
      removeBackend(backends.find(listed.id()));
      return;
    }
    ListedBackend backend = backends.getOrAdd(listed.id());
    boolean isNewlyListed = backends.markListed(backend);
    long startTime = listed.startTime();
    double weight = listed.weight();
    loadBalancer.updateBackend(
        new EndpointUpdate(
            backend.index(),
            listed.id(),
            listed.isReady(),
            listed.zone(),
            listed.cell(),
            listed.kind(),
            weight,
            startTime,
            isNewlyListed));
  }
}
