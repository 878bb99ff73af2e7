package wheattrack.simulator;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.LoadBalancer;
import wheattrack.config.OneLineText;
import wheattrack.core.BackendIndex;
import wheattrack.simulator.SimulatorProtocol.Field;

/** Applies the simulator's endpoint lists to the policy. */
final class EndpointListHandler {
  private final BackendIndex<Long, ListedBackend> backends;
  private final LoadBalancer loadBalancer;

  EndpointListHandler(BackendIndex<Long, ListedBackend> backends, LoadBalancer loadBalancer) {
    this.backends = backends;
    this.loadBalancer = loadBalancer;
  }

  /**
   * Applies one list.
   *
   * @param mode what the records are: changes, a snapshot, a cached snapshot, or nothing because
   *     discovery has failed
   * @param records the records as parsed from JSON
   * @throws InvalidInputException if the mode is unknown or a record has no backend id
   */
  void update(String mode, List<?> records) throws InvalidInputException {
    switch (mode) {
      case SimulatorProtocol.LIST_FAILED -> loadBalancer.endpointListFailed(false);
      case SimulatorProtocol.LIST_CHANGES -> updateAll(records, false);
      case SimulatorProtocol.LIST_SNAPSHOT -> {
        removeUnlisted(records);
        updateAll(records, false);
      }
      case SimulatorProtocol.LIST_CACHED_SNAPSHOT -> {
        removeUnlisted(records);
        updateAll(records, true);
      }
      default ->
          throw new InvalidInputException(
              Field.LIST_MODE.wireName()
                  + ": expected one of "
                  + SimulatorProtocol.LIST_MODES
                  + ", got "
                  + OneLineText.quoted(mode));
    }
  }

  private void updateAll(List<?> records, boolean isCached) throws InvalidInputException {
    for (Object record : records) {
      updateBackend(BackendRecord.of(record));
    }
    loadBalancer.endpointListUpdated(isCached);
  }

  private void removeUnlisted(List<?> records) throws InvalidInputException {
    Set<Long> listedIds = new HashSet<>();
    for (Object record : records) {
      listedIds.add(BackendRecord.of(record).id());
    }
    for (ListedBackend backend : backends.listedExcept(listedIds)) {
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
