package wheattrack.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import wheattrack.api.DeduplicationScope;

/**
 * Converts a pool's configuration into one for a deployment where each client process has a proxy
 * of its own. Does no I/O. Errors are {@link InvalidConfigurationException} and name the key or the
 * option. Times stay as the file has them, in microseconds.
 */
final class Migration {
  /**
   * Values that the old file does not hold; null where the operator gave none.
   *
   * @param proxyCount the number of proxies
   * @param proxyIndex the index of this proxy, from 0
   * @param reports how backends report their load
   * @param zone the one zone that remains of the old ones
   * @param listen the address where the proxy's client connects
   */
  record Options(
      Integer proxyCount, Integer proxyIndex, LoadReportMode reports, String zone, String listen) {}

  private static final Set<String> ROOT_KEYS =
      Set.of(
          "name",
          "listen",
          "discovery",
          "admin",
          "seed",
          "limits",
          "known",
          "drain_ms",
          "settings",
          "shape");
  private static final Set<String> LIMIT_KEYS = Set.of("cores", "memory_mb", "sockets", "body_mb");
  private static final Set<String> SETTINGS_KEYS =
      Set.of(
          "balancers",
          "callers",
          "discovery",
          "domainType",
          "excessValue",
          "goal",
          "kinds",
          "layers",
          "limits",
          "me",
          "prices",
          "report",
          "ruleSets",
          "rules",
          "specifics",
          "tenants",
          "tick",
          "tier",
          "valueBasis",
          "weightKind",
          "zone",
          "zones");

  /** Keys of features that were removed, in sorted order, and why they are left out. */
  private static final Map<String, String> REMOVED_KEYS =
      new TreeMap<>(
          Map.of(
              "rules.goneIsAdvice", "backends that the endpoint list drops are no longer used",
              "rules.extraFloor", "retries and hedged requests no longer have a budget",
              "rules.resendRatio", "retries and hedged requests no longer have a budget",
              "rules.budgetSpan", "retries and hedged requests no longer have a budget",
              "goal.punctual", "the share of late responses is no longer evaluated",
              "goal.tailMiss", "the share of late responses is no longer evaluated",
              "goal.logLossPart", "late responses are no longer evaluated in nines",
              "goal.fullAtNines", "late responses are no longer evaluated in nines"));

  private final Map<String, Object> result;
  private final Map<String, Object> settings;
  private final List<String> remarks = new ArrayList<>();

  /** Starts from a copy of the old configuration, whose keys must all be known. */
  private Migration(Map<String, Object> old) {
    checkKeys(old, ROOT_KEYS, "");
    result = deepCopy(old);
    checkKeys(section(result, "limits"), LIMIT_KEYS, "limits.");
    settings = section(result, "settings");
    checkKeys(settings, SETTINGS_KEYS, "settings.");
  }

  /**
   * Migrates a pool's configuration.
   *
   * @throws InvalidConfigurationException if the old configuration or an option can't be used, or
   *     they contradict each other
   */
  static Migration of(Map<String, Object> old, Options options) {
    Migration migration = new Migration(old);
    migration.run(options);
    return migration;
  }

  /** Whether a configuration already has a proxy for each client process. */
  static boolean isMigrated(Map<String, Object> configuration) {
    return DeploymentShape.PER_CLIENT.keyword().equals(configuration.get("shape"));
  }

  /** The new configuration, which has been validated. */
  Map<String, Object> result() {
    return result;
  }

  /** What the operator still has to do: one line each, with the key and the reason. */
  List<String> remarks() {
    return remarks;
  }

  private void run(Options options) {
    result.put("shape", DeploymentShape.PER_CLIENT.keyword());
    remove(result, "", "seed", "each proxy draws a random one at its start");
    remove(result, "", "known", "it is the cached endpoint list of the old proxies");
    REMOVED_KEYS.forEach(this::removeSetting);
    setProxyIndex(options);
    setReports(options.reports);
    if (options.zone != null) {
      setOnlyZone(options.zone);
    }
    if (options.listen == null) {
      remarks.add("listen: not changed, set the address for this proxy's client with --listen");
    } else {
      result.put("listen", options.listen);
    }
    if (new JsonObjectReader(result).list("settings.tenants").isEmpty()) {
      remarks.add(
          "settings.tenants: no tenants with a quotaPerS, so this proxy has no share of a quota");
    }
    new ProxyConfig(result); // throws if it can't be used
  }

  private void removeSetting(String path, String reason) {
    int dot = path.indexOf('.');
    Map<String, Object> section = section(settings, path.substring(0, dot));
    remove(section, "settings." + path.substring(0, dot + 1), path.substring(dot + 1), reason);
  }

  private void setProxyIndex(Options options) {
    if (options.proxyCount == null) {
      remarks.add("settings.balancers: not changed, set the number of proxies with --balancers");
    } else {
      settings.put("balancers", options.proxyCount);
    }
    if (options.proxyIndex == null) {
      remarks.add("settings.me: not changed, set the index of this proxy with --me");
    } else {
      settings.put("me", options.proxyIndex);
    }
    Settings reader = new Settings(settings);
    int proxyCount = reader.proxyCount();
    int proxyIndex = reader.proxyIndex();
    if (proxyCount < 1 || proxyIndex < 0 || proxyIndex >= proxyCount) {
      throw new InvalidConfigurationException(
          options.proxyIndex == null ? "--balancers" : "--me",
          "expected settings.me to be 0 or more and less than settings.balancers ("
              + proxyCount
              + "), got "
              + proxyIndex);
    }
  }

  private void setReports(LoadReportMode mode) {
    if (mode == null) {
      if (!settings.containsKey("report")) {
        remarks.add("settings.report: missing, set how backends report their load with --reports");
      }
      return;
    }
    if (mode == LoadReportMode.BY_PROBE) {
      checkProbingIsNotForbidden();
    }
    Map<String, Object> section = sectionForWriting(settings, "report");
    if (new JsonObjectReader(result).list("settings.report.fields").isEmpty()) {
      section.put("fields", mode == LoadReportMode.NONE ? List.of() : LoadReport.FIELDS);
    }
    section.put("how", mode.keyword());
    if (mode == LoadReportMode.BY_PROBE) {
      sectionForWriting(settings, "limits").put("probing", true);
    }
    if (mode == LoadReportMode.IN_RESPONSES) {
      remarks.add(
          "settings.report: set the response header in the operators' file, key answers-header");
    }
  }

  private void checkProbingIsNotForbidden() {
    Settings old = new Settings(settings);
    if (old.has("limits.probing") && !old.flag("limits.probing")) {
      throw new InvalidConfigurationException(
          "--reports", "expected another mode than probe, as settings.limits.probing is false");
    }
  }

  private void setOnlyZone(String zone) {
    List<?> zones = new JsonObjectReader(result).list("settings.zones");
    if (!zones.isEmpty() && !zones.contains(zone)) {
      throw new InvalidConfigurationException(
          "--place",
          "expected one of settings.zones, " + zones + ", got " + OneLineText.quoted(zone));
    }
    settings.put("zones", List.of(zone));
    settings.put("zone", 0);
    remove(
        section(settings, "prices"),
        "settings.prices.",
        "crossZone",
        "no request crosses zones where there is only one");
    remarkZoneScopes();
  }

  /** Adds a remark for each request class that is deduplicated within a zone. */
  private void remarkZoneScopes() {
    List<JsonObjectReader> classes = new Settings(settings).requestClassEntries();
    for (int i = 0; i < classes.size(); i++) {
      String keyword = classes.get(i).text("group", "");
      if (RequestClassKeywords.deduplicationScope(keyword) == DeduplicationScope.ZONE) {
        remarks.add(
            "settings.ruleSets["
                + i
                + "].group: zone now covers all of the only zone, check that this is intended");
      }
    }
  }

  /** Removes a key, with a remark if it was there. */
  private void remove(Map<String, Object> section, String prefix, String key, String reason) {
    if (section.remove(key) != null) {
      remarks.add(prefix + key + ": removed, " + reason);
    }
  }

  private static void checkKeys(Map<String, Object> section, Set<String> known, String prefix) {
    for (String key : section.keySet()) {
      if (!known.contains(key)) {
        throw new InvalidConfigurationException(prefix + key, "unknown key");
      }
    }
  }

  /** A nested object to read or remove from; an empty one outside the parent if it is missing. */
  @SuppressWarnings("unchecked")
  private static Map<String, Object> section(Map<String, Object> parent, String key) {
    Object found = parent.get(key);
    if (found != null && !(found instanceof Map<?, ?>)) {
      throw new InvalidConfigurationException(
          key, "expected an object, got " + JsonObjectReader.typeName(found, "an object"));
    }
    return found == null ? new LinkedHashMap<>() : (Map<String, Object>) found;
  }

  /** A nested object to write to, which is created if it is missing. */
  private static Map<String, Object> sectionForWriting(Map<String, Object> parent, String key) {
    Map<String, Object> section = section(parent, key);
    parent.put(key, section);
    return section;
  }

  /** A copy with sorted keys, in which nested objects are copied too. */
  @SuppressWarnings("unchecked")
  private static Map<String, Object> deepCopy(Map<String, Object> original) {
    Map<String, Object> copy = new TreeMap<>();
    original.forEach(
        (key, value) -> {
          boolean isSection = value instanceof Map<?, ?>;
          copy.put(key, isSection ? deepCopy((Map<String, Object>) value) : value);
        });
    return copy;
  }
}
