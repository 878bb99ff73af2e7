package wheattrack.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.PolicySettings;
import wheattrack.api.RequestClass;

/**
 * Maps the section `settings` of a configuration to the types that the policy acts on. Errors are
 * {@link InvalidConfigurationException} and name the key.
 */
public final class PolicySettingsMapper {
  /** The default of client timeouts and latency objectives, in microseconds. */
  static final long DEFAULT_LATENCY_MICROS = 1_000_000;

  /** The key of a tenant's quota. */
  static final String QUOTA = "quotaPerS";

  private PolicySettingsMapper() {}

  /** The request classes in the order of the settings, which is that of their indices. */
  public static RequestClass[] requestClasses(Settings settings) {
    List<JsonObjectReader> entries = settings.requestClassEntries();
    RequestClass[] requestClasses = new RequestClass[entries.size()];
    for (int i = 0; i < requestClasses.length; i++) {
      requestClasses[i] = requestClass(entries.get(i), i);
    }
    return requestClasses;
  }

  /** One entry of `ruleSets` as the request class with this index. */
  static RequestClass requestClass(JsonObjectReader entry, int index) {
    Idempotency idempotency = RequestClassKeywords.idempotency(entry.text("effect", ""));
    DeduplicationScope scope = RequestClassKeywords.deduplicationScope(entry.text("group", ""));
    long timeout = entry.time("clientTimeout", DEFAULT_LATENCY_MICROS);
    long objective = entry.time("responseTarget", DEFAULT_LATENCY_MICROS);
    return new RequestClass(
        index,
        Math.max(1, Math.min(timeout, objective)),
        timeout,
        idempotency,
        scope,
        entry.time("window", 0),
        entry.number("value", 1),
        entry.number("overdueValue", 0),
        entry.flag("stream"));
  }

  /** The names of the request classes, in their order. */
  public static List<String> classNames(Settings settings) {
    return settings.requestClassEntries().stream().map(entry -> entry.text("name")).toList();
  }

  /** The request classes by name, given as {@link #requestClasses} returned them. */
  public static Map<String, RequestClass> classesByName(
      Settings settings, RequestClass[] requestClasses) {
    Map<String, RequestClass> byName = new HashMap<>();
    List<JsonObjectReader> entries = settings.requestClassEntries();
    for (int i = 0; i < requestClasses.length; i++) {
      byName.put(entries.get(i).text("name"), requestClasses[i]);
    }
    return byName;
  }

  /** Whether backends report the part of their load that the policy needs. */
  public static boolean expectsLoadReports(Settings settings) {
    return settings.loadReportMode() != LoadReportMode.NONE
        && settings.list("report.fields").contains(LoadReport.IN_FLIGHT_FIELD);
  }

  /**
   * The policy's settings, with the total quota of the tenants that the settings name.
   *
   * @param zones the zones in the order in which the endpoint list numbers them; a file read later
   *     may name them in another order
   */
  public static PolicySettings policySettings(Settings settings, List<?> zones) {
    double totalQuota =
        settings.tenantEntries().stream().mapToDouble(PolicySettingsMapper::quotaPerSecond).sum();
    return policySettings(settings, zones, totalQuota);
  }

  /** The quota of one entry of `tenants`, in requests per second. */
  static double quotaPerSecond(JsonObjectReader tenant) {
    return tenant.number(QUOTA, 0);
  }

  /**
   * The policy's settings, with a total quota that is known from elsewhere.
   *
   * @param zones the zones in the order in which the endpoint list numbers them
   * @param totalQuota the quota of all tenants, in requests per second
   */
  public static PolicySettings policySettings(Settings settings, List<?> zones, double totalQuota) {
    PolicySettings.AttemptLimits attempts = attemptLimits(settings);
    PolicySettings.Zones ownZone = ownZone(settings, zones);
    PolicySettings.SlowStartLimits slowStart = slowStartLimits(settings);
    PolicySettings.Traffic traffic =
        new PolicySettings.Traffic(
            totalQuota,
            settings.number("prices.connection", 0),
            settings.number("prices.handshake", 0));
    return new PolicySettings(attempts, ownZone, slowStart, loadReports(settings), traffic);
  }

  private static PolicySettings.AttemptLimits attemptLimits(Settings settings) {
    return new PolicySettings.AttemptLimits(
        settings.integer("limits.maxDispatches", 1),
        settings.flag("limits.mayCancel"),
        settings.flag("limits.mayDuplicate"),
        settings.flag("limits.retryAfter") ? settings.time("limits.maxRetryAfter", 0) : 0);
  }

  private static PolicySettings.Zones ownZone(Settings settings, List<?> zones) {
    int index = settings.zoneIndex();
    List<?> configuredZones = settings.zones();
    boolean isNamed = index >= 0 && index < configuredZones.size();
    return new PolicySettings.Zones(
        isNamed ? zones.indexOf(configuredZones.get(index)) : index,
        settings.number("prices.crossZone", 0));
  }

  private static PolicySettings.SlowStartLimits slowStartLimits(Settings settings) {
    double initialCapacity = settings.number("rules.startCapacity", 1);
    long warmUpTime = settings.time("rules.cold", 0);
    long overloadTime = settings.time("rules.fall", 0);
    double overloadMultiple = settings.number("rules.fallMultiple", 1);
    return new PolicySettings.SlowStartLimits(
        initialCapacity, warmUpTime, overloadMultiple, overloadTime);
  }

  private static PolicySettings.LoadReports loadReports(Settings settings) {
    boolean isExpected = expectsLoadReports(settings);
    boolean isProbed =
        settings.loadReportMode() != LoadReportMode.IN_RESPONSES && settings.flag("limits.probing");
    return new PolicySettings.LoadReports(isExpected, isProbed);
  }
}
