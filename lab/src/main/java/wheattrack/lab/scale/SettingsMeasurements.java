package wheattrack.lab.scale;

import static wheattrack.lab.scale.ScaleEnvironment.FLEET_LIST_TIMEOUT_MILLIS;
import static wheattrack.lab.scale.ScaleEnvironment.LIST_TIMEOUT_MILLIS;
import static wheattrack.lab.scale.ScaleEnvironment.SMALL_FLEET;
import static wheattrack.lab.scale.ScaleEnvironment.SMALL_LIST;
import static wheattrack.lab.scale.ScaleEnvironment.USUAL_RULE_SETS;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import wheattrack.lab.scale.SteadyChanges.ChangeSchedule;

/** The axes of settings: their size in a file or in a watched source, and their watchers. */
final class SettingsMeasurements {
  /** Rule sets of 18 services, see docs/CAPACITY.md. */
  static final int USUAL_SCOPE = 146;

  /** How long a proxy may take to read a large configuration and receive its endpoint list. */
  private static final long READY_TIMEOUT_MILLIS = 45_000;

  private final ScaleEnvironment environment;

  SettingsMeasurements(ScaleEnvironment environment) {
    this.environment = environment;
  }

  /** Measures a point of the axis of the number of rule sets in the configuration file. */
  void measureRuleSets(int ruleSets, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    measureFile(ruleSets, 0, metrics);
  }

  /** Measures a point of the axis of the number of tenants in the configuration file. */
  void measureTenants(int tenants, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    measureFile(USUAL_RULE_SETS, tenants, metrics);
  }

  /** Measures a point of the axis of the number of rule sets in a source that proxies watch. */
  void measureScope(int ruleSets, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    measureSource(ruleSets, SMALL_FLEET, metrics);
  }

  /** Measures a point of the axis of the number of proxies that watch a source of usual size. */
  void measureScopeWatchers(int fleetSize, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    measureSource(USUAL_SCOPE, fleetSize, metrics);
  }

  private void measureFile(int ruleSets, int tenants, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    try (SourceServer source = environment.startEndpointSource(SMALL_LIST)) {
      Path config = environment.writeConfig(source, ruleSets, tenants);
      metrics.put("file_mb", Files.size(config) / (double) ByteUnits.MIB);
      try (ControlOnlyFleet fleet = environment.startFleet(1, config)) {
        fleet.awaitSnapshots(READY_TIMEOUT_MILLIS);
        long cpuBefore = fleet.cpuNanos();
        long start = System.nanoTime();
        fleet.reload(config);
        metrics.put("reload_ms", (System.nanoTime() - start) / ScaleEnvironment.NANOS_PER_MILLI);
        metrics.put(
            "reload_cpu_ms", (fleet.cpuNanos() - cpuBefore) / ScaleEnvironment.NANOS_PER_MILLI);
        metrics.put("heap_kb", fleet.heapKibEach());
      }
      if (environment.hasReferences()) {
        try (ReferenceProxy reference = environment.startReference(source, ruleSets, tenants)) {
          reference.putStart(metrics);
          metrics.put(
              "w_reload_cpu_ms",
              reference.wasReady() ? reference.reloadCpuMillis(LIST_TIMEOUT_MILLIS) : Double.NaN);
        }
      }
    }
  }

  /** Measures settings from a watched source: what a change costs and when it takes effect. */
  private void measureSource(int ruleSets, int fleetSize, Map<String, Double> metrics)
      throws IOException, InterruptedException {
    try (SourceServer endpoints = environment.startEndpointSource(SMALL_LIST);
        SourceServer settings = environment.startSettingsSource(ruleSets)) {
      Path config = environment.writeConfig(endpoints, 1, 0);
      try (ReferenceProxy reference = environment.startReference(endpoints, settings)) {
        long bytesBefore = settings.bytesSent();
        try (ControlOnlyFleet fleet = environment.startFleet(fleetSize, config, settings)) {
          metrics.put("whole_ms", fleet.awaitSnapshots(FLEET_LIST_TIMEOUT_MILLIS));
          // bytes of the complete snapshot per proxy, as whole_ms is the time until all have it
          metrics.put(
              "whole_kb",
              (settings.bytesSent() - bytesBefore) / (double) ByteUnits.KIB / fleetSize);
          metrics.put("heap_kb", fleet.heapKibEach());
          if (reference != null) {
            metrics.put("w_ready_ms", reference.readyMillis());
            metrics.put("w_rss_mb", reference.peakResidentMib());
          }
          ChangeSchedule schedule =
              fleetSize <= SMALL_FLEET ? ChangeSchedule.FAST : ChangeSchedule.SLOW;
          new SteadyChanges(environment, settings, ruleSets)
              .measure(fleet, reference, schedule, metrics);
          if (reference != null) {
            // settings from the source that the reference proxy has applied
            metrics.put("w_told", reference.metric("settings_told"));
          }
        }
      }
    }
  }
}
