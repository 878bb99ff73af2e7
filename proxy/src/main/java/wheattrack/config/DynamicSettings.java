package wheattrack.config;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;

/**
 * Rule sets, tenants and limits by name as a watched source told them: whole once, then what
 * changed. Pure. News is checked as a whole before any of it holds; what it costs goes by what
 * changed. Bounded by {@link #MOST_SETS} and {@link #MOST_TENANTS}. Errors are {@link
 * InvalidConfigurationException} and name the key.
 */
public final class DynamicSettings {
  /** What becomes of news. */
  public enum Verdict {
    /** It holds from now on. */
    IN_FORCE,
    /** It follows another state than the one held: the whole has to be asked for. */
    WHOLE_WANTED
  }

  /** Rule sets and tenants that one proxy holds at most: some 30 MB of them. */
  public static final int MAX_CLASSES = 50_000, MAX_TENANTS = 100_000;

  private String source = "";
  private long revision = -1;

  /** Every rule set by its name; the same map all the time, for who looks up requests in it. */
  private final Map<String, RequestClass> requestClasses = new HashMap<>();

  private final Map<String, Double> quotas = new HashMap<>();
  private Map<String, Object> limits = Map.of();

  /**
   * The rule sets by target, and how many are replayable, so that no change is counted over all.
   */
  private final TreeMap<Long, Integer> targets = new TreeMap<>();

  private int replayable, numbered;
  private double totalQuota;
  private long longestClientTimeout;

  /** What one object of news would change, once it is known to be sound. */
  private record News(
      Map<String, RequestClass> sets, Map<String, Double> quotas, Map<String, Object> limits) {}

  /**
   * News: `rev`, `source`, `all`, for changes `after` (the revision that they follow), and
   * `ruleSets`, `tenants`, `limits`. An entry with `gone` is dropped. Where it throws, nothing has
   * changed.
   */
  public Verdict apply(Settings news) {
    boolean all = news.flag("all");
    long rev = news.wholeNumber("rev", -1);
    if (rev < 0) {
      throw new InvalidConfigurationException("rev", "missing or negative");
    }
    String from = news.text("source", "");
    boolean follows =
        revision >= 0
            && from.equals(source)
            && rev > revision
            && news.wholeNumber("after", -1) == revision;
    if (!all && !follows) {
      return Verdict.WHOLE_WANTED;
    }
    News sound = check(news, all);
    if (all) {
      clear();
    }
    sound.sets.forEach(this::put);
    sound.quotas.forEach(
        (name, quotaPerS) -> {
          Double was = quotaPerS < 0 ? quotas.remove(name) : quotas.put(name, quotaPerS);
          totalQuota += Math.max(0, quotaPerS) - (was == null ? 0 : was);
        });
    totalQuota = quotas.isEmpty() ? 0 : totalQuota;
    limits = sound.limits;
    revision = rev;
    source = from;
    return Verdict.IN_FORCE;
  }

  private News check(Settings news, boolean all) {
    Map<String, RequestClass> changed = new LinkedHashMap<>();
    int more = all ? 0 : requestClasses.size(), number = numbered;
    for (Settings set : news.sections("ruleSets")) {
      String name = set.text("name");
      if (changed.containsKey(name)) {
        throw new InvalidConfigurationException(set.key("name"), "the same as another's");
      }
      boolean known = !all && requestClasses.containsKey(name);
      if (set.flag("gone")) {
        changed.put(name, null);
        more -= known ? 1 : 0;
      } else {
        ProxyConfig.checkRuleSet(set);
        changed.put(name, set.ruleSet(known ? requestClasses.get(name).index() : number++));
        more += known ? 0 : 1;
      }
    }
    if (more == 0) {
      throw new InvalidConfigurationException(news.key("ruleSets"), "none would be left");
    }
    bound(news, "ruleSets", more, MAX_CLASSES);
    Map<String, Double> tenants = new LinkedHashMap<>();
    more = all ? 0 : quotas.size();
    for (Settings tenant : news.sections("tenants")) {
      String name = tenant.text("name");
      boolean gone = tenant.flag("gone"), known = !all && quotas.containsKey(name);
      double quotaPerS = tenant.number("quotaPerS", 0);
      if (quotaPerS < 0) {
        throw new InvalidConfigurationException(tenant.key("quotaPerS"), "negative");
      }
      if (tenants.put(name, gone ? -1 : quotaPerS) != null) {
        throw new InvalidConfigurationException(tenant.key("name"), "the same as another's");
      }
      more += gone ? known ? -1 : 0 : known ? 0 : 1;
    }
    bound(news, "tenants", more, MAX_TENANTS);
    Map<String, Object> next = new HashMap<>(all ? Map.of() : limits);
    Settings told = news.section("limits");
    told.keys().forEach(key -> next.put(key, told.any(key)));
    next.values().removeIf(java.util.Objects::isNull);
    ProxyConfig.checkLimits(new Settings(Map.of("limits", next)));
    return new News(changed, tenants, Map.copyOf(next));
  }

  private static void bound(Settings news, String key, int count, int most) {
    if (count > most) {
      throw new InvalidConfigurationException(
          news.key(key), count + " are over the " + most + " that one proxy holds");
    }
  }

  private void clear() {
    requestClasses.clear();
    quotas.clear();
    targets.clear();
    replayable = 0;
    totalQuota = 0;
  }

  private void put(String name, RequestClass set) {
    RequestClass was = set == null ? requestClasses.remove(name) : requestClasses.put(name, set);
    if (was != null) {
      targets.merge(was.latencyObjective(), -1, (a, b) -> a + b == 0 ? null : a + b);
      replayable -= was.idempotency() == Idempotency.IDEMPOTENT ? 1 : 0;
    }
    if (set != null) {
      targets.merge(set.latencyObjective(), 1, Integer::sum);
      replayable += set.idempotency() == Idempotency.IDEMPOTENT ? 1 : 0;
      longestClientTimeout = Math.max(longestClientTimeout, set.clientTimeout());
      numbered = Math.max(numbered, set.index() + 1);
    }
  }

  /** Whether the source has told a whole that holds. */
  public boolean isPresent() {
    return revision >= 0;
  }

  /** The revision that holds, below 0 before the first. */
  public long revision() {
    return revision;
  }

  /** All rule sets by name, as they are at any moment. */
  public Map<String, RequestClass> requestClasses() {
    return requestClasses;
  }

  public int tenants() {
    return quotas.size();
  }

  /**
   * What the decisions act on of all rule sets: the tightest target, and whether one may run again.
   */
  public RequestClass[] summary() {
    Idempotency effect = replayable > 0 ? Idempotency.IDEMPOTENT : Idempotency.NON_IDEMPOTENT;
    return targets.isEmpty()
        ? new RequestClass[0]
        : new RequestClass[] {
          new RequestClass(
              0,
              targets.firstKey(),
              targets.firstKey(),
              effect,
              DeduplicationScope.ALL,
              0,
              1,
              0,
              false)
        };
  }

  /** All tenants' shares, requests a second. */
  public double totalQuota() {
    return totalQuota;
  }

  /** The longest time-out that any rule set has had; a request under way may still take it. */
  public long longestClientTimeout() {
    return longestClientTimeout;
  }

  /** These settings with the limits that the source names in place of their own. */
  public Settings overlay(Settings own) {
    return own.with("limits", limits);
  }

  /** The names of the limits that the source has set. */
  public List<String> limitNames() {
    return limits.keySet().stream().sorted().toList();
  }
}
