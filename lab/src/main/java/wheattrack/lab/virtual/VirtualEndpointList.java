package wheattrack.lab.virtual;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.LoadBalancer;
import wheattrack.core.BackendIndex;
import wheattrack.lab.model.EndpointRegistry;
import wheattrack.lab.model.EndpointRegistry.EndpointEvent;
import wheattrack.lab.model.SimulatedBackend;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.State;
import wheattrack.lab.scenario.Scenario;

/**
 * The endpoint list as one proxy of the virtual run has received it: passes events to the policy
 * and writes them to the ledger. A restarted proxy starts with it as the cached list.
 */
final class VirtualEndpointList {
  private final VirtualRun run;
  private final int proxyIndex;
  private final Map<Integer, EndpointEvent> latestEvents = new LinkedHashMap<>();
  private BackendIndex<Integer, VirtualConnections> backends;
  private LoadBalancer policy;

  VirtualEndpointList(VirtualRun run, int proxyIndex) {
    this.run = run;
    this.proxyIndex = proxyIndex;
    clearBackends();
  }

  /** Forgets all backends and connections, as a new process starts without them. */
  void clearBackends() {
    backends = new BackendIndex<>(VirtualConnections::new);
  }

  /** Sets the policy of a new process, and passes the cached list to it if there is one. */
  void startPolicy(LoadBalancer newPolicy) {
    policy = newPolicy;
    if (!latestEvents.isEmpty()) {
      apply(new ArrayList<>(latestEvents.values()), true, true);
    }
  }

  /** The connections to the backend with this index of the policy. */
  VirtualConnections connections(int index) {
    return backends.get(index);
  }

  /** The connections to a backend, or null if the proxy does not know it. */
  VirtualConnections connectionsTo(SimulatedBackend backend) {
    return backends.find(backend.index());
  }

  /**
   * Applies events of the list.
   *
   * @param complete whether they are the complete list; otherwise they are changes
   */
  void receive(List<EndpointEvent> events, boolean complete) {
    apply(events, complete, false);
  }

  private void apply(List<EndpointEvent> events, boolean complete, boolean cached) {
    if (complete) {
      Set<Integer> listed = new HashSet<>();
      events.forEach(event -> listed.add(event.backend()));
      backends.listedExcept(listed).forEach(this::remove);
      latestEvents.clear();
    }
    for (EndpointEvent event : events) {
      if (event.state() == State.GONE) {
        latestEvents.remove(event.backend());
        remove(backends.find(event.backend()));
      } else {
        update(event, cached);
      }
    }
    policy.endpointListUpdated(cached);
  }

  private void update(EndpointEvent event, boolean cached) {
    int backendIndex = event.backend();
    latestEvents.put(backendIndex, event);
    VirtualConnections connections = backends.getOrAdd(backendIndex);
    boolean isNew = backends.markListed(connections);
    if (!cached) {
      run.record(
          LedgerRecord.endpointNotified(
              run.now(), proxyIndex, backendIndex, event.state(), event.startedAt()));
    }
    SimulatedBackend backend = run.backend(backendIndex);
    boolean startedLongAgo = event.startedAt() == EndpointRegistry.LONG_AGO;
    policy.updateBackend(
        new EndpointUpdate(
            connections.index(),
            backend.id(),
            event.state() == State.READY,
            backend.zone(),
            Scenario.cellOf(backendIndex),
            run.scenario().backendKinds().indexOf(backend.group().kind()),
            backend.group().cores() * backend.group().speed(),
            startedLongAgo ? EndpointRegistry.LONG_AGO : VirtualRun.CLOCK_START + event.startedAt(),
            isNew));
  }

  private void remove(VirtualConnections connections) {
    if (backends.markUnlisted(connections)) {
      run.record(
          LedgerRecord.endpointNotified(run.now(), proxyIndex, connections.id(), State.GONE, 0));
      policy.removeBackend(connections.index());
    }
  }
}
