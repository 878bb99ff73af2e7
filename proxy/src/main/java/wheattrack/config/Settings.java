package wheattrack.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.PolicySettings;
import wheattrack.api.RequestClass;
import wheattrack.api.LoadBalancer;

/**
 * One object of a configuration, read by paths of keys. A key that is not there has its default;
 * one that holds something of the wrong kind is an error that names it. Times are microseconds
 * there and come out in tenths of a millisecond, rounded down.
 */
public final class Settings {
  /** Microseconds in the project's unit of time. */
  public static final int UNIT = 100;

  /**
   * The words for effects and groups, in the order of their enums; of those unlike any, the last
   * holds.
   */
  static final List<String> EFFECTS = List.of("read_like", "idempotency_key", "non_idempotent");

  static final List<String> GROUPS = List.of("all", "zone", "cell");

  /** Of a load report: the reqs a backend holds, and those of them that wait. */
  public static final String IN_FLIGHT_FIELD = "rif", QUEUED_FIELD = "q";

  /** How load reports come. */
  static final List<String> REPORTS = List.of("none", "answers", "probe");

  private static final int MOST_COST = Integer.MAX_VALUE / 4;

  private final Map<String, Object> all;
  private final String where;

  public Settings(Map<String, Object> all) {
    this(all, "");
  }

  private Settings(Map<String, Object> all, String where) {
    this.all = all;
    this.where = where;
  }

  /** Whatever stands there, or null. */
  public Object any(String path) {
    Object here = all;
    int from = 0;
    for (int dot = path.indexOf('.'); here != null && dot >= 0; dot = path.indexOf('.', from)) {
      here = ((Map<?, ?>) here).get(path.substring(from, dot));
      if (here != null && !(here instanceof Map<?, ?>)) {
        throw new InvalidConfigurationException(where + path.substring(0, dot), "not an object");
      }
      from = dot + 1;
    }
    return here == null ? null : ((Map<?, ?>) here).get(path.substring(from));
  }

  private <T> T at(String path, Class<T> kind, T otherwise) {
    Object value = any(path);
    if (value == null) {
      return otherwise;
    }
    if (!kind.isInstance(value)) {
      throw new InvalidConfigurationException(
          where + path,
          switch (kind.getSimpleName()) {
            case "Number" -> "not a number";
            case "Boolean" -> "neither true nor false";
            case "String" -> "not a text";
            case "List" -> "not a list";
            default -> "not an object";
          });
    }
    return kind.cast(value);
  }

  /** The whole path of a key, for messages. */
  String key(String path) {
    return where + path;
  }

  /** The same with some keys of one of its objects in place of their own; the rest is shared. */
  Settings with(String part, Map<String, Object> other) {
    Map<String, Object> all2 = new HashMap<>(all), inner = new HashMap<>(section(part).all);
    inner.putAll(other);
    all2.put(part, inner);
    return new Settings(all2, where);
  }

  Set<String> keys() {
    return all.keySet();
  }

  public boolean has(String path) {
    return any(path) != null;
  }

  public double number(String path, double otherwise) {
    return at(path, Number.class, otherwise).doubleValue();
  }

  public int integer(String path, int otherwise) {
    return (int) number(path, otherwise);
  }

  public long wholeNumber(String path, long otherwise) {
    return at(path, Number.class, otherwise).longValue();
  }

  public long time(String path, long otherwiseMicros) {
    double micros = number(path, otherwiseMicros);
    if (micros < 0) {
      throw new InvalidConfigurationException(where + path, "negative");
    }
    return (long) micros / UNIT;
  }

  /** The cost that a hint in microseconds stands for, in our unit, rounded up; 0 for none. */
  public static int cost(long hint) {
    return (int) Math.min(MOST_COST, (Math.max(0, hint) + UNIT - 1) / UNIT);
  }

  public boolean flag(String path) {
    return at(path, Boolean.class, false);
  }

  public String text(String path, String otherwise) {
    return at(path, String.class, otherwise);
  }

  /** A text that must be there. */
  public String text(String path) {
    String word = text(path, null);
    if (word == null || word.isEmpty()) {
      throw new InvalidConfigurationException(where + path, "missing");
    }
    return word;
  }

  public List<?> list(String path) {
    return at(path, List.class, List.of());
  }

  @SuppressWarnings("unchecked")
  public Settings section(String path) {
    return new Settings((Map<String, Object>) at(path, Map.class, Map.of()), where + path + ".");
  }

  /** The list's entries, each an object. */
  @SuppressWarnings("unchecked")
  public List<Settings> sections(String path) {
    List<?> list = list(path);
    return IntStream.range(0, list.size())
        .mapToObj(
            i -> {
              String name = where + path + "[" + i + "]";
              if (!(list.get(i) instanceof Map<?, ?> map)) {
                throw new InvalidConfigurationException(name, "not an object");
              }
              return new Settings((Map<String, Object>) map, name + ".");
            })
        .toList();
  }

  public RequestClass[] requestClasses() {
    List<Settings> sets = sections("ruleSets");
    RequestClass[] out = new RequestClass[sets.size()];
    for (int i = 0; i < out.length; i++) {
      out[i] = sets.get(i).ruleSet(i);
    }
    return out;
  }

  /** This object as a rule set of that number. */
  RequestClass ruleSet(int number) {
    Idempotency effect = choice(text("effect", ""), EFFECTS, Idempotency.values());
    DeduplicationScope group = choice(text("group", ""), GROUPS, DeduplicationScope.values());
    long timeout = time("clientTimeout", 1_000_000);
    long target = Math.max(1, Math.min(timeout, time("responseTarget", 1_000_000)));
    return new RequestClass(
        number,
        target,
        timeout,
        effect,
        group,
        time("window", 0),
        number("value", 1),
        number("overdueValue", 0),
        flag("stream"));
  }

  private static <T> T choice(String word, List<String> words, T[] values) {
    int i = words.indexOf(word);
    return values[i < 0 ? values.length - 1 : i];
  }

  /** These rule sets of ours under their names. */
  public Map<String, RequestClass> classesByName(RequestClass[] sets) {
    Map<String, RequestClass> named = new HashMap<>();
    List<Settings> parts = sections("ruleSets");
    for (int i = 0; i < sets.length; i++) {
      named.put(parts.get(i).text("name"), sets[i]);
    }
    return named;
  }

  /** The names of the rule sets, in their order. */
  public List<String> classNames() {
    return sections("ruleSets").stream().map(set -> set.text("name")).toList();
  }

  /**
   * The decisions under these settings, each part given its own; asks: the list must be asked for.
   */
  public LoadBalancer newLoadBalancer(
      PolicyRuntime port, long seed, RequestClass[] sets, boolean asks) {
    return newLoadBalancer(port, seed, sets, asks, Long.MAX_VALUE);
  }

  /**
   * The same; calls to the list that fail are spaced as if it were asked this often, or oftener.
   */
  public LoadBalancer newLoadBalancer(
      PolicyRuntime port, long seed, RequestClass[] sets, boolean asks, long askEveryAtMost) {
    LoadBalancer rules =
        new wheattrack.policy.EquiloadBalancer(port, seed, integer("me", 0), integer("balancers", 1), sets);
    rules.configure(policySettings(list("zones")), sets);
    rules.start(asks, Math.min(askEveryAtMost, time("rules.askEvery", 10_000_000)));
    return rules;
  }

  /** Whether backends report what the decisions need of their load. */
  public boolean expectsLoadReports() {
    return !text("report.how", REPORTS.get(0)).equals(REPORTS.get(0))
        && list("report.fields").contains(IN_FLIGHT_FIELD);
  }

  /**
   * What the policy acts on.
   *
   * @param zones the zones in the order in which the endpoint list numbers them, which a later file
   *     may name in another order
   */
  public PolicySettings policySettings(List<?> zones) {
    return policySettings(
        zones, sections("tenants").stream().mapToDouble(one -> one.number("quotaPerS", 0)).sum());
  }

  /** The same, with all tenants' shares known otherwise. */
  public PolicySettings policySettings(List<?> zones, double quota) {
    int most = integer("limits.maxDispatches", 1);
    boolean cancels = flag("limits.mayCancel"), duplicates = flag("limits.mayDuplicate");
    long longestWait = flag("limits.retryAfter") ? time("limits.maxRetryAfter", 0) : 0;
    int own = integer("zone", 0);
    List<?> mine = list("zones");
    int zone = own >= 0 && own < mine.size() ? zones.indexOf(mine.get(own)) : own;
    double crossing = number("prices.crossZone", 0), start = number("rules.startCapacity", 1);
    long cold = time("rules.cold", 0), fall = time("rules.fall", 0);
    double multiple = number("rules.fallMultiple", 1);
    double connection = number("prices.connection", 0), handshake = number("prices.handshake", 0);
    boolean come = expectsLoadReports();
    boolean asked = !text("report.how", "").equals(REPORTS.get(1)) && flag("limits.probing");
    return new PolicySettings(
        new PolicySettings.AttemptLimits(most, cancels, duplicates, longestWait),
        new PolicySettings.Zones(zone, crossing),
        new PolicySettings.SlowStartLimits(start, cold, multiple, fall),
        new PolicySettings.LoadReports(come, asked),
        new PolicySettings.Traffic(quota, connection, handshake));
  }
}
