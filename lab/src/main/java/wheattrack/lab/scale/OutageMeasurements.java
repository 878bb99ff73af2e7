package wheattrack.lab.scale;

import static wheattrack.lab.scale.ScaleEnvironment.FLEET_LIST_TIMEOUT_MILLIS;
import static wheattrack.lab.scale.ScaleEnvironment.SMALL_LIST;
import static wheattrack.lab.scale.ScaleEnvironment.USUAL_RULE_SETS;

import java.io.IOException;
import java.util.Map;

/** The axes of a source that is unavailable for a while: what its return costs its watchers. */
final class OutageMeasurements {
  private static final long OUTAGE_MILLIS = 6_000;

  /** Time after the return in which connections are counted for {@code calls_first_400ms}. */
  private static final long FIRST_CONNECTIONS_MILLIS = 400;

  /** Further time until all watchers are expected to have reconnected. */
  private static final long RECOVERY_MILLIS = 6_000;

  private static final double NANOS_PER_MICRO = 1e3;

  private final ScaleEnvironment environment;

  OutageMeasurements(ScaleEnvironment environment) {
    this.environment = environment;
  }

  /** Measures that many control-only proxies whose source of endpoints is unavailable. */
  void measureEndpointOutage(int fleetSize, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    try (SourceServer endpoints = environment.startEndpointSource(SMALL_LIST);
        ControlOnlyFleet fleet =
            environment.startFleet(
                fleetSize, environment.writeConfig(endpoints, USUAL_RULE_SETS, 0))) {
      measure(fleet, endpoints, metrics);
    }
  }

  /** Measures that many control-only proxies whose source of settings is unavailable. */
  void measureSettingsOutage(int fleetSize, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    try (SourceServer endpoints = environment.startEndpointSource(SMALL_LIST);
        SourceServer settings = environment.startSettingsSource(SettingsMeasurements.USUAL_SCOPE);
        ControlOnlyFleet fleet =
            environment.startFleet(fleetSize, environment.writeConfig(endpoints, 1, 0), settings)) {
      measure(fleet, settings, metrics);
    }
  }

  private void measure(ControlOnlyFleet fleet, SourceServer source, Map<String, Double> metrics)
      throws InterruptedException {
    metrics.put("list_ms", fleet.awaitSnapshots(FLEET_LIST_TIMEOUT_MILLIS));
    fleet.forgetRevisions();
    source.setMode(SourceServer.Mode.REFUSING);
    Thread.sleep(OUTAGE_MILLIS);
    long bytesBefore = source.bytesSent();
    long connectionsBefore = source.acceptedConnections();
    long cpuBefore = fleet.cpuNanos();
    long changedAt = System.nanoTime();
    source.change(0, 1);
    source.setMode(SourceServer.Mode.UP);
    Thread.sleep(FIRST_CONNECTIONS_MILLIS);
    metrics.put("calls_first_400ms", (double) (source.acceptedConnections() - connectionsBefore));
    Thread.sleep(RECOVERY_MILLIS);
    double size = fleet.size();
    // per proxy, from the return of the source to the end of the recovery
    metrics.put("return_bytes", (source.bytesSent() - bytesBefore) / size);
    metrics.put("return_us", (fleet.cpuNanos() - cpuBefore) / NANOS_PER_MICRO / size);
    fleet.putActivationLatencies(new long[] {changedAt}, source, metrics);
  }
}
