package wheattrack.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Rejects settings that the policy could not act on, or would silently misread. Errors are {@link
 * InvalidConfigurationException} and name the key.
 */
final class SettingsValidator {
  private SettingsValidator() {}

  /** Throws if the condition does not hold. */
  static void check(boolean condition, String key, String fault) {
    if (!condition) {
      throw new InvalidConfigurationException(key, fault);
    }
  }

  /** Checks the section `settings` of a configuration. */
  static void checkSettings(Settings settings) {
    checkRequestClasses(settings);
    PolicySettingsMapper.requestClasses(settings);
    PolicySettingsMapper.policySettings(settings, settings.zones());
    checkRemovedRules(settings);
    checkPrices(settings);
    checkTenants(settings);
    checkLoadReports(settings);
    checkProxyPosition(settings);
    checkLimits(settings);
    checkZone(settings);
  }

  private static void checkProxyPosition(Settings settings) {
    int proxyCount = settings.proxyCount();
    int proxyIndex = settings.proxyIndex();
    check(proxyCount >= 1, settings.key(Settings.PROXY_COUNT), "under 1");
    check(
        proxyIndex >= 0 && proxyIndex < proxyCount,
        settings.key(Settings.PROXY_INDEX),
        "not from 0 to under balancers");
  }

  private static void checkZone(Settings settings) {
    int zoneCount = Math.max(1, settings.zones().size());
    int zone = settings.zoneIndex();
    check(zone >= 0 && zone < zoneCount, settings.key(Settings.ZONE), "not a place in zones");
  }

  private static void checkRequestClasses(Settings settings) {
    List<JsonObjectReader> entries = settings.requestClassEntries();
    check(!entries.isEmpty(), settings.key(Settings.REQUEST_CLASSES), "missing");
    Set<String> names = new HashSet<>();
    for (JsonObjectReader entry : entries) {
      check(names.add(entry.text("name")), entry.key("name"), "the same as another's");
      checkRequestClass(entry);
    }
  }

  /** Checks one entry of `ruleSets`, except for its name. */
  static void checkRequestClass(JsonObjectReader entry) {
    checkKeyword(entry, "effect", entry.text("effect"), RequestClassKeywords.IDEMPOTENCY);
    String scope = entry.text("group", null);
    if (scope != null) {
      checkKeyword(entry, "group", scope, RequestClassKeywords.DEDUPLICATION_SCOPE);
    }
    checkPositiveTime(entry, "clientTimeout");
    checkPositiveTime(entry, "responseTarget");
    PolicySettingsMapper.requestClass(entry, 0); // throws if another key has the wrong type
  }

  private static void checkKeyword(
      JsonObjectReader object, String path, String keyword, List<String> allowed) {
    check(allowed.contains(keyword), object.key(path), "none of " + allowed);
  }

  private static void checkPositiveTime(JsonObjectReader entry, String key) {
    long time = entry.time(key, PolicySettingsMapper.DEFAULT_LATENCY_MICROS);
    check(time > 0, entry.key(key), "not above 0");
  }

  /** Checks the section `limits` of the given settings. */
  static void checkLimits(JsonObjectReader settings) {
    check(
        settings.integer("limits.maxDispatches", 1) >= 1,
        settings.key("limits.maxDispatches"),
        "under 1");
    for (String key : List.of("dialTimeout", "idleClose", "maxRetryAfter")) {
      settings.time("limits." + key, 0);
    }
    for (String key : List.of("mayCancel", "mayDuplicate", "retryAfter", "probing")) {
      settings.flag("limits." + key);
    }
  }

  /** Rejects rules that are no longer supported, rather than ignoring them. */
  private static void checkRemovedRules(Settings settings) {
    check(
        settings.number("rules.budgetSpan", 0) == 0,
        settings.key("rules.budgetSpan"),
        "further dispatches are held to no budget any more");
    check(
        !settings.flag("rules.goneIsAdvice"),
        settings.key("rules.goneIsAdvice"),
        "what the list drops is gone, nothing else is known any more");
  }

  private static void checkPrices(Settings settings) {
    for (String key : List.of("prices.connection", "prices.handshake", "prices.crossZone")) {
      check(settings.number(key, 0) >= 0, settings.key(key), "negative");
    }
  }

  private static void checkTenants(Settings settings) {
    settings.tenantEntries().forEach(SettingsValidator::checkTenant);
  }

  /** Checks one entry of `tenants`, except for its name. */
  static void checkTenant(JsonObjectReader tenant) {
    double quotaPerSecond = PolicySettingsMapper.quotaPerSecond(tenant);
    check(quotaPerSecond >= 0, tenant.key(PolicySettingsMapper.QUOTA), "negative");
  }

  private static void checkLoadReports(Settings settings) {
    String keyword = settings.text(Settings.LOAD_REPORT_MODE, LoadReportMode.NONE.keyword());
    checkKeyword(settings, Settings.LOAD_REPORT_MODE, keyword, LoadReportMode.KEYWORDS);
    check(
        settings.loadReportMode() != LoadReportMode.BY_PROBE || settings.flag("limits.probing"),
        settings.key("limits.probing"),
        "not true, yet reports come with probes alone");
  }
}
