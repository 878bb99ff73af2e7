package wheattrack.lab.scale;

import static wheattrack.lab.scale.ScaleEnvironment.FLEET_LIST_TIMEOUT_MILLIS;
import static wheattrack.lab.scale.ScaleEnvironment.LIST_TIMEOUT_MILLIS;
import static wheattrack.lab.scale.ScaleEnvironment.SMALL_FLEET;
import static wheattrack.lab.scale.ScaleEnvironment.SMALL_LIST;
import static wheattrack.lab.scale.ScaleEnvironment.USUAL_RULE_SETS;

import java.util.Map;
import wheattrack.lab.scale.SteadyChanges.ChangeSchedule;

/** The axes about the endpoint list: its size, its changes, and who watches it. */
final class EndpointMeasurements {
  /** Backends in a usual list. */
  static final int USUAL_LIST = 1000;

  private static final int CHANGE_SECONDS = 3;

  private final ScaleEnvironment environment;

  EndpointMeasurements(ScaleEnvironment environment) {
    this.environment = environment;
  }

  /** By backends in the list. */
  void measureBackends(int backends, Map<String, Double> metrics) throws Exception {
    int fleetSize = backends > USUAL_LIST ? 1 : SMALL_FLEET;
    try (SourceServer source = environment.startEndpointSource(backends);
        ReferenceProxy reference = environment.startReference(source, USUAL_RULE_SETS, 0)) {
      long bytesBefore = source.bytesSent();
      try (ControlOnlyFleet fleet =
          environment.startFleet(fleetSize, environment.writeConfig(source, USUAL_RULE_SETS, 0))) {
        double listMillis = fleet.awaitLists(LIST_TIMEOUT_MILLIS);
        metrics.put("list_ms", listMillis);
        metrics.put("known", fleet.maxKnownBackends());
        metrics.put("list_kb", (source.bytesSent() - bytesBefore) / 1024.0 / fleetSize);
        double watchers = fleetSize + (reference == null ? 0 : 1);
        metrics.put("asked_bytes", source.bytesReceived() / watchers);
        metrics.put("heap_kb", fleet.heapKibEach());
        if (reference != null) {
          metrics.put("w_ready_ms", reference.readyMillis());
          metrics.put("w_known", reference.metric("backends_known"));
          reference.putStart(metrics);
          metrics.put("w_rest_mb", reference.residentKib() / 1024.0);
        }
        if (Double.isFinite(listMillis)) {
          new SteadyChanges(environment, source, backends)
              .measure(fleet, reference, ChangeSchedule.FAST, metrics);
        }
      }
    }
  }

  /** By changes a second. */
  void measureChangeRate(int perSecond, Map<String, Double> metrics) throws Exception {
    try (SourceServer source = environment.startEndpointSource(USUAL_LIST);
        ReferenceProxy reference = environment.startReference(source, USUAL_RULE_SETS, 0);
        ControlOnlyFleet fleet =
            environment.startFleet(
                SMALL_FLEET, environment.writeConfig(source, USUAL_RULE_SETS, 0))) {
      fleet.awaitLists(LIST_TIMEOUT_MILLIS);
      new SteadyChanges(environment, source, USUAL_LIST)
          .measure(
              fleet, reference, new ChangeSchedule(CHANGE_SECONDS * perSecond, perSecond), metrics);
    }
  }

  /** By control-only proxies that watch the list. */
  void measureWatchers(int fleetSize, Map<String, Double> metrics) throws Exception {
    try (SourceServer source = environment.startEndpointSource(SMALL_LIST);
        ReferenceProxy reference = environment.startReference(source, USUAL_RULE_SETS, 0);
        ControlOnlyFleet fleet =
            environment.startFleet(
                fleetSize, environment.writeConfig(source, USUAL_RULE_SETS, 0))) {
      metrics.put("list_ms", fleet.awaitLists(FLEET_LIST_TIMEOUT_MILLIS));
      metrics.put("processes", (double) fleet.processCount());
      new SteadyChanges(environment, source, SMALL_LIST)
          .measure(fleet, reference, ChangeSchedule.GENTLE, metrics);
    }
  }
}
