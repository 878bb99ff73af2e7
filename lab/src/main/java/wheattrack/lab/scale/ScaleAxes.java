package wheattrack.lab.scale;

import java.util.List;
import java.util.stream.Stream;

/** The axes of a run, in the order in which they are measured. */
final class ScaleAxes {
  private static final int MAX_FLEET = 4700;
  private static final int[] FLEET_SIZES = {100, 500, 1500, MAX_FLEET};

  private ScaleAxes() {}

  static List<ScaleAxis> of(ScaleEnvironment environment) {
    return Stream.of(
            endpointAxes(environment),
            settingsAxes(environment),
            outageAxes(environment),
            List.of(restartAxis(environment)))
        .flatMap(List::stream)
        .toList();
  }

  private static List<ScaleAxis> endpointAxes(ScaleEnvironment environment) {
    EndpointMeasurements endpoints = new EndpointMeasurements(environment);
    return List.of(
        new ScaleAxis(
            "backends",
            "backends in the endpoint list",
            new int[] {50, 200, 500, 1000, 5000, 50_000, 200_000},
            1,
            200_000,
            endpoints::measureBackends),
        new ScaleAxis(
            "changes",
            "changes per second, " + EndpointMeasurements.USUAL_LIST + " backends",
            new int[] {10, 50, 100, 200, 400},
            1,
            2000,
            endpoints::measureChangeRate),
        fleetAxis(
            "watchers",
            "control-only proxies at one source, " + ScaleEnvironment.SMALL_LIST + " backends",
            endpoints::measureWatchers));
  }

  private static List<ScaleAxis> settingsAxes(ScaleEnvironment environment) {
    SettingsMeasurements settings = new SettingsMeasurements(environment);
    return List.of(
        new ScaleAxis(
            "rule-sets",
            "rule sets",
            new int[] {100, 1000, 10_000, 43_000},
            1,
            43_000,
            settings::measureRuleSets),
        new ScaleAxis(
            "tenants",
            "tenants, with " + ScaleEnvironment.USUAL_RULE_SETS + " rule sets",
            new int[] {1000, 10_000, 100_000, 430_000},
            1,
            430_000,
            settings::measureTenants),
        new ScaleAxis(
            "scope",
            "rule sets in the watched scope, ten tenants each",
            new int[] {20, 146, 1000, 5000},
            1,
            5000,
            settings::measureScope),
        fleetAxis(
            "scope-watchers",
            "control-only proxies that watch "
                + SettingsMeasurements.USUAL_SCOPE
                + " rule sets at one source",
            settings::measureScopeWatchers));
  }

  private static List<ScaleAxis> outageAxes(ScaleEnvironment environment) {
    OutageMeasurements outages = new OutageMeasurements(environment);
    return List.of(
        fleetAxis(
            "outage",
            "control-only proxies whose endpoint source is unavailable for 6 s",
            outages::measureEndpointOutage),
        fleetAxis(
            "scope-outage",
            "control-only proxies whose source of settings is unavailable for 6 s",
            outages::measureSettingsOutage));
  }

  private static ScaleAxis restartAxis(ScaleEnvironment environment) {
    return new ScaleAxis(
        "restart",
        "complete proxies started together",
        new int[] {1, 10, 30, 147},
        1,
        180,
        new RestartMeasurement(environment)::measure);
  }

  /** An axis whose points are numbers of control-only proxies. */
  private static ScaleAxis fleetAxis(String name, String unit, ScaleAxis.Measurement measurement) {
    return new ScaleAxis(name, unit, FLEET_SIZES, 1, MAX_FLEET, measurement);
  }
}
