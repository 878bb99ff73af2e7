package wheattrack.simulator;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.LoadBalancer;
import wheattrack.config.JsonObjectReader;
import wheattrack.config.TimeConversion;
import wheattrack.core.BackendIndex;

/** Brings endpoint lists of the simulator to the policy. */
final class EndpointListEvents {
  private final BackendIndex<Long, ListedBackend> backends;
  private final LoadBalancer loadBalancer;

  EndpointListEvents(BackendIndex<Long, ListedBackend> backends, LoadBalancer loadBalancer) {
    this.backends = backends;
    this.loadBalancer = loadBalancer;
  }

  /**
   * Hands over one list.
   *
   * @param mode what the records are: changes, a snapshot, a snapshot that is surely current, or
   *     nothing, as discovery has failed
   * @param records the records of backends
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
      updateBackend(record);
    }
    loadBalancer.endpointListUpdated(isCurrent);
  }

  private void removeUnnamed(List<?> records) throws InvalidInputException {
    Set<Long> namedIds = new HashSet<>();
    for (Object record : records) {
      namedIds.add(backendId(record));
    }
    for (ListedBackend backend : backends.listedExcept(namedIds)) {
      removeBackend(backend);
    }
  }

  private void removeBackend(ListedBackend backend) {
    if (backends.markUnlisted(backend)) {
      loadBalancer.removeBackend(backend.index);
    }
  }

  private static long backendId(Object record) throws InvalidInputException {
    if (record instanceof Map<?, ?> fields
        && fields.get(SimulatorProtocol.BACKEND) instanceof Number id) {
      return id.longValue();
    }
    throw MessageFields.missing(SimulatorProtocol.BACKEND);
  }

  @SuppressWarnings("unchecked") // the parser's maps have texts as keys
  private void updateBackend(Object record) throws InvalidInputException {
    long id = backendId(record);
    JsonObjectReader fields = new JsonObjectReader((Map<String, Object>) record);
    String readiness = fields.text(SimulatorProtocol.READINESS, SimulatorProtocol.READINESS_READY);
    if (readiness.equals(SimulatorProtocol.READINESS_REMOVED)) {
      removeBackend(backends.find(id));
      return;
    }
    ListedBackend backend = backends.getOrAdd(id);
    boolean isNewlyListed = backends.markListed(backend);
    long startedAt = (long) fields.number(SimulatorProtocol.STARTED_AT, 0);
    double weight = fields.number(SimulatorProtocol.WEIGHT, 1);
    loadBalancer.updateBackend(
        new EndpointUpdate(
            backend.index,
            id,
            readiness.equals(SimulatorProtocol.READINESS_READY),
            fields.integer(SimulatorProtocol.ZONE, 0),
            fields.integer(SimulatorProtocol.CELL, 0),
            fields.integer(SimulatorProtocol.BACKEND_KIND, 0),
            weight,
            startTime(startedAt),
            isNewlyListed));
  }

  /** In tenths of a millisecond, from microseconds, of which 0 and less stand for long ago. */
  private static long startTime(long startedAt) {
    return startedAt <= 0 ? BackendIndex.LONG_AGO : TimeConversion.ticksRoundedDown(startedAt);
  }
}
