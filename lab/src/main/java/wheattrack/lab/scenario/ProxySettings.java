package wheattrack.lab.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.config.TimeConversion;
import wheattrack.lab.scenario.Scenario.BackendGroup;
import wheattrack.lab.scenario.Scenario.Workload;

/**
 * The settings that a scenario gives its proxies, in the form of the proxies' own configuration.
 */
public final class ProxySettings {
  /** Time limit of connection attempts to backends, in microseconds. */
  private static final int CONNECT_TIMEOUT = 250_000;

  /** Time after which idle connections to backends are closed, in microseconds. */
  private static final int IDLE_TIMEOUT = 30_000_000;

  /** Time between two load probes, in microseconds. */
  private static final int LOAD_PROBE_INTERVAL = 10_000_000;

  private ProxySettings() {}

  /** The settings of the proxy of this index, as a tree of maps, lists, strings and numbers. */
  public static Map<String, Object> of(Scenario scenario, int proxyIndex) {
    List<Object> requestClasses = new ArrayList<>();
    for (Workload workload : scenario.workloads()) {
      requestClasses.add(requestClass(workload.name(), workload.requestClass()));
    }
    List<String> zones = new ArrayList<>();
    for (int zone = 0; zone < scenario.zoneCount(); zone++) {
      zones.add("z" + zone);
    }
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("me", proxyIndex);
    settings.put("balancers", scenario.proxyCount());
    settings.put("zones", zones);
    settings.put("zone", scenario.zoneOf(proxyIndex));
    settings.put("kinds", scenario.backendKinds());
    settings.put("ruleSets", requestClasses);
    settings.put("limits", limits(scenario.limits()));
    settings.put("rules", rules(scenario));
    return settings;
  }

  private static Map<String, Object> requestClass(String name, RequestClass requestClass) {
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("name", name);
    settings.put("effect", effectKeyword(requestClass.idempotency()));
    settings.put("group", requestClass.deduplicationScope().name().toLowerCase(Locale.ROOT));
    settings.put("window", requestClass.deduplicationWindow() * TimeConversion.MICROS_PER_TICK);
    settings.put(
        "responseTarget", requestClass.latencyObjective() * TimeConversion.MICROS_PER_TICK);
    settings.put("clientTimeout", requestClass.clientTimeout() * TimeConversion.MICROS_PER_TICK);
    settings.put("value", requestClass.priorityWeight());
    settings.put("overdueValue", requestClass.lateWeight());
    return settings;
  }

  private static String effectKeyword(Idempotency idempotency) {
    return switch (idempotency) {
      case IDEMPOTENT -> "read_like";
      case IDEMPOTENT_WITH_KEY -> "idempotency_key";
      case NON_IDEMPOTENT -> "non_idempotent";
    };
  }

  private static Map<String, Object> limits(Scenario.AttemptLimits limits) {
    return Map.of(
        "maxDispatches",
        limits.maxAttempts(),
        "mayCancel",
        limits.mayCancel(),
        "mayDuplicate",
        limits.mayHedge(),
        "retryAfter",
        limits.maxRetryAfter() > 0,
        "maxRetryAfter",
        limits.maxRetryAfter() * TimeConversion.MICROS_PER_TICK,
        "dialTimeout",
        CONNECT_TIMEOUT,
        "idleClose",
        IDLE_TIMEOUT);
  }

  private static Map<String, Object> rules(Scenario scenario) {
    List<BackendGroup> groups = scenario.backendGroups();
    long coldDuration = groups.stream().mapToLong(BackendGroup::coldDuration).max().orElse(0);
    double coldSpeed = groups.stream().mapToDouble(BackendGroup::coldSpeed).min().orElse(1);
    return Map.of(
        "askEvery",
        LOAD_PROBE_INTERVAL,
        "cold",
        coldDuration * TimeConversion.MICROS_PER_TICK,
        "startCapacity",
        coldSpeed,
        "fall",
        scenario.terms().collapseWindow() * TimeConversion.MICROS_PER_TICK,
        "fallMultiple",
        scenario.terms().collapseMultiple());
  }
}
