package wheattrack.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheattrack.api.RequestClass;

/**
 * Request classes, tenants' quotas and limits as a watched settings source sends them: one complete
 * snapshot first, then incremental updates. Does no I/O. An update is validated completely before
 * any of it is applied, and costs time in proportion to what it changes. Bounded by {@link
 * #MAX_CLASSES} and {@link #MAX_TENANTS}. Errors are {@link InvalidConfigurationException} and name
 * the key. Not thread-safe.
 */
public final class DynamicSettings {
  /** The result of an update that is valid. */
  public enum Verdict {
    /** The update has been applied. */
    APPLIED,
    /** The update follows another state than the current one: a complete snapshot is required. */
    SNAPSHOT_REQUIRED
  }

  /** The most request classes that one proxy holds; with all tenants they take some 30 MB. */
  public static final int MAX_CLASSES = 50_000;

  /** The most tenants that one proxy holds. */
  public static final int MAX_TENANTS = 100_000;

  private static final long NO_REVISION = -1;

  private String source = "";
  private long revision = NO_REVISION;

  /** All classes by name. The map is never replaced, as callers keep a reference to it. */
  private final Map<String, RequestClass> requestClasses = new HashMap<>();

  /** Requests per second by tenant. */
  private final Map<String, Double> quotas = new HashMap<>();

  private Map<String, Object> limits = Map.of();
  private final RequestClassSummary summary = new RequestClassSummary();

  /** The index that the next new class gets. */
  private int nextIndex;

  /** Requests a second of all tenants, kept up to date so that no update sums over all of them. */
  private double totalQuota;

  private long longestClientTimeout;

  /**
   * Validates and applies an update: `rev`, `source`, `all` for a snapshot, `after` (the revision
   * that it follows) otherwise, and `ruleSets`, `tenants`, `limits`. An entry with `gone` is
   * removed.
   *
   * @throws InvalidConfigurationException if the update is invalid; nothing has changed then
   */
  public Verdict apply(JsonObjectReader update) {
    boolean isSnapshot = update.flag("all");
    long updateRevision = update.wholeNumber("rev", NO_REVISION);
    if (updateRevision < 0) {
      throw new InvalidConfigurationException("rev", "missing or negative");
    }
    String updateSource = update.text("source", "");
    if (!isSnapshot && !follows(update, updateRevision, updateSource)) {
      return Verdict.SNAPSHOT_REQUIRED;
    }
    DynamicSettingsUpdate valid =
        isSnapshot
            ? DynamicSettingsUpdate.read(update, Map.of(), Map.of(), Map.of(), nextIndex)
            : DynamicSettingsUpdate.read(update, requestClasses, quotas, limits, nextIndex);
    if (isSnapshot) {
      clear();
    }
    valid.requestClasses().forEach(this::putRequestClass);
    valid.quotas().forEach(this::putQuota);
    if (quotas.isEmpty()) {
      totalQuota = 0; // removes the rounding error of the running total
    }
    limits = valid.limits();
    revision = updateRevision;
    source = updateSource;
    return Verdict.APPLIED;
  }

  private boolean follows(JsonObjectReader update, long updateRevision, String updateSource) {
    return revision >= 0
        && updateSource.equals(source)
        && updateRevision > revision
        && update.wholeNumber("after", NO_REVISION) == revision;
  }

  private void clear() {
    requestClasses.clear();
    quotas.clear();
    summary.clear();
    totalQuota = 0;
  }

  /** Adds or replaces a class; null removes it. */
  private void putRequestClass(String name, RequestClass requestClass) {
    RequestClass previous =
        requestClass == null ? requestClasses.remove(name) : requestClasses.put(name, requestClass);
    if (previous != null) {
      summary.remove(previous);
    }
    if (requestClass != null) {
      summary.add(requestClass);
      longestClientTimeout = Math.max(longestClientTimeout, requestClass.clientTimeout());
      nextIndex = Math.max(nextIndex, requestClass.index() + 1);
    }
  }

  /** Sets a tenant's quota in requests per second; a negative one removes the tenant. */
  private void putQuota(String name, double quotaPerSecond) {
    Double previous = quotaPerSecond < 0 ? quotas.remove(name) : quotas.put(name, quotaPerSecond);
    totalQuota += Math.max(0, quotaPerSecond) - (previous == null ? 0 : previous);
  }

  /** Whether a snapshot has been applied. */
  public boolean isPresent() {
    return revision >= 0;
  }

  /** The current revision, negative before the first snapshot. */
  public long revision() {
    return revision;
  }

  /** All request classes by name: a live view that later updates change. */
  public Map<String, RequestClass> requestClasses() {
    return requestClasses;
  }

  /** The number of tenants. */
  public int tenantCount() {
    return quotas.size();
  }

  /**
   * What the policy needs to know of all classes, as one class: the strictest latency objective,
   * and whether any class is idempotent. Empty if there are no classes.
   */
  public RequestClass[] summary() {
    return summary.toArray();
  }

  /** The quotas of all tenants, in requests per second. */
  public double totalQuota() {
    return totalQuota;
  }

  /**
   * The longest client timeout that any class has ever had, in tenths of a millisecond; a request
   * in flight may still have it.
   */
  public long longestClientTimeout() {
    return longestClientTimeout;
  }

  /** The given settings, with the limits that the source has set in place of their own. */
  public Settings overlay(Settings settings) {
    return settings.withLimits(limits);
  }

  /** The names of the limits that the source has set, sorted. */
  public List<String> limitNames() {
    return limits.keySet().stream().sorted().toList();
  }
}
