package wheattrack.lab.virtual;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheattrack.lab.model.EndpointRegistry;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Discovery;

/** The endpoint list on the virtual clock: each proxy receives events in order, after delays. */
final class VirtualDiscovery extends EndpointRegistry {
  /** Time until a watch fails that was requested while the list is down. */
  private static final long WATCH_TIMEOUT = 5_000;

  private final VirtualRun run;
  private final Discovery settings;

  /** For each watching proxy, when the last event sent to it arrives. */
  private final Map<VirtualProxy, Long> lastDeliveries = new LinkedHashMap<>();

  /** When a list of limited rate will have sent all entries that it has to send so far. */
  private long busyUntil;

  VirtualDiscovery(VirtualRun run) {
    super(run);
    this.run = run;
    settings = run.scenario().discovery();
  }

  /** Starts a watch: the proxy receives a snapshot, and then all changes. */
  void watch(VirtualProxy proxy) {
    if (isDown()) {
      proxy.scheduleInIncarnation(WATCH_TIMEOUT, proxy::endpointListFailed);
    } else {
      sendSnapshot(proxy);
    }
  }

  @Override
  protected void publishChange(EndpointEvent event) {
    for (VirtualProxy proxy : lastDeliveries.keySet()) {
      scheduleDelivery(proxy, 1, () -> proxy.endpointsChanged(List.of(event), false));
    }
  }

  @Override
  protected void publishSnapshot() {
    lastDeliveries.keySet().forEach(this::sendSnapshot);
  }

  @Override
  protected void interruptWatches() {
    lastDeliveries.keySet().forEach(VirtualProxy::endpointListFailed);
  }

  /** Sends a snapshot, with the entries that the list has at the time of its arrival. */
  private void sendSnapshot(VirtualProxy proxy) {
    scheduleDelivery(proxy, snapshot().size(), () -> proxy.endpointsChanged(snapshot(), true));
  }

  private void scheduleDelivery(VirtualProxy proxy, int entryCount, Runnable delivery) {
    long now = run.now();
    if (settings.entriesPerSecond() > 0 && now > 0) {
      double sendTime = (double) entryCount * Scenario.SECOND / settings.entriesPerSecond();
      busyUntil = Math.max(now, busyUntil) + Math.round(sendTime);
    }
    long arrival = Math.max(now, busyUntil) + drawDeliveryDelay();
    long deliverAt = Math.max(arrival, lastDeliveries.getOrDefault(proxy, 0L));
    lastDeliveries.put(proxy, deliverAt);
    proxy.scheduleInIncarnation(
        deliverAt - now,
        () -> {
          if (!isDown()) {
            delivery.run();
          }
        });
  }
}
