package wheattrack.config;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wheattrack.port.RuleSet;
import wheattrack.port.RuleSet.Effect;

/**
 * Rule sets, tenants and limits by name as a watched source told them: whole once, then what
 * changed. Pure. News is checked as a whole before any of it holds; what it costs goes by what
 * changed. Bounded by {@link #MOST_SETS} and {@link #MOST_TENANTS}. Errors are {@link BadConfig}
 * and name the key.
 */
public final class SettingsFeed {
  /** What becomes of news. */
  public enum Verdict {
    /** It holds from now on. */
    IN_FORCE,
    /** It follows another state than the one held: the whole has to be asked for. */
    WHOLE_WANTED
  }

  /** Rule sets and tenants that one proxy holds at most: some 30 MB of them. */
  public static final int MOST_SETS = 50_000, MOST_TENANTS = 100_000;

  private String source = "";
  private long revision = -1;

  /** Every rule set by its name; the same map all the time, for who looks up requests in it. */
  private final Map<String, RuleSet> sets = new HashMap<>();

  private final Map<String, Double> quotas = new HashMap<>();
  private Map<String, Object> limits = Map.of();

  /**
   * The rule sets by target, and how many are replayable, so that no change is counted over all.
   */
  private final TreeMap<Long, Integer> targets = new TreeMap<>();

  private int replayable, numbered;
  private double quota;
  private long longest;

  /** What one object of news would change, once it is known to be sound. */
  private record News(
      Map<String, RuleSet> sets, Map<String, Double> quotas, Map<String, Object> limits) {}

  /**
   * News: `rev`, `source`, `all`, for changes `after` (the revision that they follow), and
   * `ruleSets`, `tenants`, `limits`. An entry with `gone` is dropped. Where it throws, nothing has
   * changed.
   */
  public Verdict take(Settings news) {
    boolean all = news.flag("all");
    long rev = news.whole("rev", -1);
    if (rev < 0) {
      throw new BadConfig("rev", "missing or negative");
    }
    String from = news.word("source", "");
    boolean follows =
        revision >= 0
            && from.equals(source)
            && rev > revision
            && news.whole("after", -1) == revision;
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
          quota += Math.max(0, quotaPerS) - (was == null ? 0 : was);
        });
    quota = quotas.isEmpty() ? 0 : quota;
    limits = sound.limits;
    revision = rev;
    source = from;
    return Verdict.IN_FORCE;
  }

  private News check(Settings news, boolean all) {
    Map<String, RuleSet> changed = new LinkedHashMap<>();
    int more = all ? 0 : sets.size(), number = numbered;
    for (Settings set : news.parts("ruleSets")) {
      String name = set.word("name");
      if (changed.containsKey(name)) {
        throw new BadConfig(set.key("name"), "the same as another's");
      }
      boolean known = !all && sets.containsKey(name);
      if (set.flag("gone")) {
        changed.put(name, null);
        more -= known ? 1 : 0;
      } else {
        Config.checkRuleSet(set);
        changed.put(name, set.ruleSet(known ? sets.get(name).at() : number++));
        more += known ? 0 : 1;
      }
    }
    if (more == 0) {
      throw new BadConfig(news.key("ruleSets"), "none would be left");
    }
    bound(news, "ruleSets", more, MOST_SETS);
    Map<String, Double> tenants = new LinkedHashMap<>();
    more = all ? 0 : quotas.size();
    for (Settings tenant : news.parts("tenants")) {
      String name = tenant.word("name");
      boolean gone = tenant.flag("gone"), known = !all && quotas.containsKey(name);
      double quotaPerS = tenant.number("quotaPerS", 0);
      if (quotaPerS < 0) {
        throw new BadConfig(tenant.key("quotaPerS"), "negative");
      }
      if (tenants.put(name, gone ? -1 : quotaPerS) != null) {
        throw new BadConfig(tenant.key("name"), "the same as another's");
      }
      more += gone ? known ? -1 : 0 : known ? 0 : 1;
    }
    bound(news, "tenants", more, MOST_TENANTS);
    Map<String, Object> next = new HashMap<>(all ? Map.of() : limits);
    Settings told = news.part("limits");
    told.keys().forEach(key -> next.put(key, told.any(key)));
    next.values().removeIf(java.util.Objects::isNull);
    Config.checkLimits(new Settings(Map.of("limits", next)));
    return new News(changed, tenants, Map.copyOf(next));
  }

  private static void bound(Settings news, String key, int count, int most) {
    if (count > most) {
      throw new BadConfig(news.key(key), count + " are over the " + most + " that one proxy holds");
    }
  }

  private void clear() {
    sets.clear();
    quotas.clear();
    targets.clear();
    replayable = 0;
    quota = 0;
  }

  private void put(String name, RuleSet set) {
    RuleSet was = set == null ? sets.remove(name) : sets.put(name, set);
    if (was != null) {
      targets.merge(was.target(), -1, (a, b) -> a + b == 0 ? null : a + b);
      replayable -= was.effect() == Effect.REPLAYABLE ? 1 : 0;
    }
    if (set != null) {
      targets.merge(set.target(), 1, Integer::sum);
      replayable += set.effect() == Effect.REPLAYABLE ? 1 : 0;
      longest = Math.max(longest, set.timeout());
      numbered = Math.max(numbered, set.at() + 1);
    }
  }

  /** Whether the source has told a whole that holds. */
  public boolean isThere() {
    return revision >= 0;
  }

  /** The revision that holds, below 0 before the first. */
  public long revision() {
    return revision;
  }

  /** All rule sets by name, as they are at any moment. */
  public Map<String, RuleSet> sets() {
    return sets;
  }

  public int tenants() {
    return quotas.size();
  }

  /**
   * What the decisions act on of all rule sets: the tightest target, and whether one may run again.
   */
  public RuleSet[] summary() {
    Effect effect = replayable > 0 ? Effect.REPLAYABLE : Effect.NON_REPLAYABLE;
    return targets.isEmpty()
        ? new RuleSet[0]
        : new RuleSet[] {
          new RuleSet(
              0, targets.firstKey(), targets.firstKey(), effect, RuleSet.Group.ALL, 0, 1, 0, false)
        };
  }

  /** All tenants' shares, requests a second. */
  public double quota() {
    return quota;
  }

  /** The longest time-out that any rule set has had; a request under way may still take it. */
  public long longest() {
    return longest;
  }

  /** These settings with the limits that the source names in place of their own. */
  public Settings over(Settings own) {
    return own.with("limits", limits);
  }

  /** The names of the limits that the source has set. */
  public List<String> limited() {
    return limits.keySet().stream().sorted().toList();
  }
}
