package wheattrack.lab.scale;

import static wheattrack.lab.scale.ScaleEnvironment.FLEET_LIST_TIMEOUT_MILLIS;
import static wheattrack.lab.scale.ScaleEnvironment.LIST_TIMEOUT_MILLIS;
import static wheattrack.lab.scale.ScaleEnvironment.SMALL_FLEET;
import static wheattrack.lab.scale.ScaleEnvironment.SMALL_LIST;
import static wheattrack.lab.scale.ScaleEnvironment.USUAL_RULE_SETS;

import java.io.IOException;
import java.util.Map;
import wheattrack.lab.scale.SteadyChanges.ChangeSchedule;

/** The axes of the endpoint list: its size, its changes and the number of its watchers. */
final class EndpointMeasurements {
  /** Backends in an endpoint list of the usual size. */
  static final int USUAL_LIST = 1000;

  /** For how long changes are made at each rate. */
  private static final int CHANGE_SECONDS = 3;

  /** A measurement while a fleet and, unless it is null, a reference proxy watch a source. */
  private interface FleetMeasurement {
    void measure(SourceServer source, ReferenceProxy reference, ControlOnlyFleet fleet)
        throws InterruptedException;
  }

  private final ScaleEnvironment environment;

  EndpointMeasurements(ScaleEnvironment environment) {
    this.environment = environment;
  }

  /** Measures a point of the axis of the number of backends in the list. */
  void measureBackends(int backends, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    int fleetSize = backends > USUAL_LIST ? 1 : SMALL_FLEET;
    try (SourceServer source = environment.startEndpointSource(backends);
        ReferenceProxy reference = environment.startReference(source, USUAL_RULE_SETS, 0)) {
      long bytesBefore = source.bytesSent();
      try (ControlOnlyFleet fleet =
          environment.startFleet(fleetSize, environment.writeConfig(source, USUAL_RULE_SETS, 0))) {
        double listMillis = fleet.awaitSnapshots(LIST_TIMEOUT_MILLIS);
        metrics.put("list_ms", listMillis);
        metrics.put("known", fleet.maxKnownBackends());
        metrics.put(
            "list_kb", (source.bytesSent() - bytesBefore) / (double) ByteUnits.KIB / fleetSize);
        double watchers = fleetSize + (reference == null ? 0 : 1);
        // bytes of requests per watcher
        metrics.put("asked_bytes", source.bytesReceived() / watchers);
        metrics.put("heap_kb", fleet.heapKibEach());
        if (reference != null) {
          putReferenceMetrics(reference, metrics);
        }
        if (Double.isFinite(listMillis)) {
          new SteadyChanges(environment, source, backends)
              .measure(fleet, reference, ChangeSchedule.FAST, metrics);
        }
      }
    }
  }

  private static void putReferenceMetrics(ReferenceProxy reference, Map<String, Double> metrics) {
    metrics.put("w_ready_ms", reference.readyMillis());
    metrics.put("w_known", reference.metric("backends_known"));
    reference.putStart(metrics);
    // resident memory once the control-only proxies have their lists
    metrics.put("w_rest_mb", reference.residentKib() / (double) ByteUnits.KIB);
  }

  /** Measures a point of the axis of the number of changes per second. */
  void measureChangeRate(int perSecond, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    ChangeSchedule schedule = new ChangeSchedule(CHANGE_SECONDS * perSecond, perSecond);
    measureFleet(
        USUAL_LIST,
        SMALL_FLEET,
        (source, reference, fleet) -> {
          fleet.awaitSnapshots(LIST_TIMEOUT_MILLIS);
          new SteadyChanges(environment, source, USUAL_LIST)
              .measure(fleet, reference, schedule, metrics);
        });
  }

  /** Measures a point of the axis of the number of control-only proxies that watch the list. */
  void measureWatchers(int fleetSize, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    measureFleet(
        SMALL_LIST,
        fleetSize,
        (source, reference, fleet) -> {
          metrics.put("list_ms", fleet.awaitSnapshots(FLEET_LIST_TIMEOUT_MILLIS));
          metrics.put("processes", (double) fleet.processCount());
          new SteadyChanges(environment, source, SMALL_LIST)
              .measure(fleet, reference, ChangeSchedule.SLOW, metrics);
        });
  }

  /** Starts a source of that many backends and proxies that watch it, measures, and ends them. */
  private void measureFleet(int backends, int fleetSize, FleetMeasurement measurement)
      throws IOException, InterruptedException {
    try (SourceServer source = environment.startEndpointSource(backends);
        ReferenceProxy reference = environment.startReference(source, USUAL_RULE_SETS, 0);
        ControlOnlyFleet fleet =
            environment.startFleet(
                fleetSize, environment.writeConfig(source, USUAL_RULE_SETS, 0))) {
      measurement.measure(source, reference, fleet);
    }
  }
}
