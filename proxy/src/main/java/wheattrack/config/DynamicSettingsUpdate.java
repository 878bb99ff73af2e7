package wheattrack.config;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import wheattrack.api.RequestClass;

/**
 * A validated update of {@link DynamicSettings}.
 *
 * @param requestClasses the changed classes by name, in the update's order; null removes one
 * @param quotas the changed quotas by tenant, in requests per second; a negative one removes the
 *     tenant
 * @param limits all limits that hold after the update
 */
record DynamicSettingsUpdate(
    Map<String, RequestClass> requestClasses,
    Map<String, Double> quotas,
    Map<String, Object> limits) {
  private static final double REMOVED = -1;

  /**
   * Reads and validates an update against the state that it changes; for a snapshot that state is
   * empty.
   *
   * @param nextIndex the index that the first new class gets
   * @throws InvalidConfigurationException if the update is invalid
   */
  static DynamicSettingsUpdate read(
      JsonObjectReader update,
      Map<String, RequestClass> currentClasses,
      Map<String, Double> currentQuotas,
      Map<String, Object> currentLimits,
      int nextIndex) {
    Map<String, RequestClass> requestClasses =
        readRequestClasses(update, currentClasses, nextIndex);
    Map<String, Double> quotas = readQuotas(update, currentQuotas);
    return new DynamicSettingsUpdate(requestClasses, quotas, readLimits(update, currentLimits));
  }

  private static Map<String, RequestClass> readRequestClasses(
      JsonObjectReader update, Map<String, RequestClass> current, int firstNewIndex) {
    Map<String, RequestClass> changed = new LinkedHashMap<>();
    int count = current.size();
    int nextIndex = firstNewIndex;
    for (JsonObjectReader entry : update.sections(Settings.REQUEST_CLASSES)) {
      String name = entry.text("name");
      if (changed.containsKey(name)) {
        throw new InvalidConfigurationException(
            entry.key("name"),
            "expected a unique name, got " + OneLineText.quoted(name) + " again");
      }
      boolean isKnown = current.containsKey(name);
      if (entry.flag("gone")) {
        changed.put(name, null);
        count -= isKnown ? 1 : 0;
        continue;
      }
      SettingsValidator.checkRequestClass(entry);
      int index = isKnown ? current.get(name).index() : nextIndex++;
      changed.put(name, PolicySettingsMapper.requestClass(entry, index));
      count += isKnown ? 0 : 1;
    }
    if (count == 0) {
      throw new InvalidConfigurationException(
          update.key(Settings.REQUEST_CLASSES),
          "expected at least one request class after the update, got none");
    }
    checkCount(update, Settings.REQUEST_CLASSES, count, DynamicSettings.MAX_CLASSES);
    return changed;
  }

  private static Map<String, Double> readQuotas(
      JsonObjectReader update, Map<String, Double> current) {
    Map<String, Double> changed = new LinkedHashMap<>();
    int count = current.size();
    for (JsonObjectReader tenant : update.sections(Settings.TENANTS)) {
      String name = tenant.text("name");
      boolean isRemoved = tenant.flag("gone");
      SettingsValidator.checkTenant(tenant);
      double quotaPerSecond = PolicySettingsMapper.quotaPerSecond(tenant);
      if (changed.put(name, isRemoved ? REMOVED : quotaPerSecond) != null) {
        throw new InvalidConfigurationException(
            tenant.key("name"),
            "expected a unique name, got " + OneLineText.quoted(name) + " again");
      }
      boolean isKnown = current.containsKey(name);
      if (isRemoved && isKnown) {
        count--;
      } else if (!isRemoved && !isKnown) {
        count++;
      }
    }
    checkCount(update, Settings.TENANTS, count, DynamicSettings.MAX_TENANTS);
    return changed;
  }

  /** The current limits with the update's in their place; null resets a limit. */
  private static Map<String, Object> readLimits(
      JsonObjectReader update, Map<String, Object> current) {
    Map<String, Object> limits = new HashMap<>(current);
    JsonObjectReader changed = update.section(Settings.LIMITS);
    changed.keys().forEach(key -> limits.put(key, changed.any(key)));
    limits.values().removeIf(Objects::isNull);
    SettingsValidator.checkLimits(new JsonObjectReader(Map.of(Settings.LIMITS, limits)));
    return Map.copyOf(limits);
  }

  private static void checkCount(JsonObjectReader update, String key, int count, int maximum) {
    if (count > maximum) {
      throw new InvalidConfigurationException(
          update.key(key), "expected at most " + maximum + " entries, got " + count);
    }
  }
}
