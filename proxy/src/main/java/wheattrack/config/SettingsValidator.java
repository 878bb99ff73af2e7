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

  /** Throws an error with this key and fault if the condition does not hold. */
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
    checkProxyIndex(settings);
    checkLimits(settings);
    checkZone(settings);
  }

  private static void checkProxyIndex(Settings settings) {
    int proxyCount = settings.proxyCount();
    int proxyIndex = settings.proxyIndex();
    check(
        proxyCount >= 1,
        settings.key(Settings.PROXY_COUNT),
        "expected at least 1, got " + proxyCount);
    check(
        proxyIndex >= 0 && proxyIndex < proxyCount,
        settings.key(Settings.PROXY_INDEX),
        "expected 0 or more and less than balancers (" + proxyCount + "), got " + proxyIndex);
  }

  private static void checkZone(Settings settings) {
    int zoneCount = Math.max(1, settings.zones().size());
    int zone = settings.zoneIndex();
    check(
        zone >= 0 && zone < zoneCount,
        settings.key(Settings.ZONE),
        "expected an index in zones, from 0 to " + (zoneCount - 1) + ", got " + zone);
  }

  private static void checkRequestClasses(Settings settings) {
    List<JsonObjectReader> entries = settings.requestClassEntries();
    check(
        !entries.isEmpty(),
        settings.key(Settings.REQUEST_CLASSES),
        "expected at least one request class, got none");
    Set<String> names = new HashSet<>();
    for (JsonObjectReader entry : entries) {
      check(
          names.add(entry.text("name")),
          entry.key("name"),
          "expected a unique name, got " + OneLineText.quoted(entry.text("name")) + " again");
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
    check(
        allowed.contains(keyword),
        object.key(path),
        "expected one of " + allowed + ", got " + OneLineText.quoted(keyword));
  }

  private static void checkPositiveTime(JsonObjectReader entry, String key) {
    long time = entry.time(key, PolicySettingsMapper.DEFAULT_LATENCY_MICROS);
    if (time <= 0) {
      throw new InvalidConfigurationException(
          entry.key(key),
          "expected at least "
              + TimeConversion.MICROS_PER_TICK
              + " microseconds, got "
              + entry.number(key, PolicySettingsMapper.DEFAULT_LATENCY_MICROS));
    }
  }

  /** Checks the section `limits` of the given settings. */
  static void checkLimits(JsonObjectReader settings) {
    int maxAttempts = settings.integer("limits.maxDispatches", 1);
    check(
        maxAttempts >= 1,
        settings.key("limits.maxDispatches"),
        "expected at least 1, got " + maxAttempts);
    for (String key : List.of("dialTimeout", "idleClose", "maxRetryAfter")) {
      settings.time("limits." + key, 0);
    }
    for (String key : List.of("mayCancel", "mayDuplicate", "retryAfter", "probing")) {
      settings.flag("limits." + key);
    }
  }

  /** Rejects rules that are no longer supported, rather than ignoring them. */
  private static void checkRemovedRules(Settings settings) {
    double budgetSpan = settings.number("rules.budgetSpan", 0);
    check(
        budgetSpan == 0,
        settings.key("rules.budgetSpan"),
        "expected 0, as retries and hedged requests no longer have a budget, got " + budgetSpan);
    check(
        !settings.flag("rules.goneIsAdvice"),
        settings.key("rules.goneIsAdvice"),
        "expected false, as backends that the endpoint list drops are no longer used");
  }

  private static void checkPrices(Settings settings) {
    for (String key : List.of("prices.connection", "prices.handshake", "prices.crossZone")) {
      double price = settings.number(key, 0);
      check(price >= 0, settings.key(key), "expected 0 or more, got " + price);
    }
  }

  private static void checkTenants(Settings settings) {
    settings.tenantEntries().forEach(SettingsValidator::checkTenant);
  }

  /** Checks one entry of `tenants`, except for its name. */
  static void checkTenant(JsonObjectReader tenant) {
    double quotaPerSecond = PolicySettingsMapper.quotaPerSecond(tenant);
    boolean isValid = quotaPerSecond >= 0;
    if (!isValid) {
      throw new InvalidConfigurationException(
          tenant.key(PolicySettingsMapper.QUOTA), "expected 0 or more, got " + quotaPerSecond);
    }
  }

  private static void checkLoadReports(Settings settings) {
    String keyword = settings.text(Settings.LOAD_REPORT_MODE, LoadReportMode.NONE.keyword());
    checkKeyword(settings, Settings.LOAD_REPORT_MODE, keyword, LoadReportMode.KEYWORDS);
    check(
        settings.loadReportMode() != LoadReportMode.BY_PROBE || settings.flag("limits.probing"),
        settings.key("limits.probing"),
        "expected true, as report.how is probe");
  }
}
