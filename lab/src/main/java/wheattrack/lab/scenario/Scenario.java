package wheattrack.lab.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.config.ConfigurationReader;
import wheattrack.config.Settings;
import wheattrack.lab.referee.ColdBudget;

/**
 * One scenario, read and checked: a fleet, its load, a timeline of faults and what is expected.
 * Times are tenths of a millisecond. Faults in the file end in {@link wheattrack.config.BadConfig},
 * which names file, line and key.
 */
public final class Scenario {
  private static final List<String> EFFECTS = List.of("replayable", "uniqued", "non-replayable");

  /** Tenths of a millisecond in a second and in a millisecond. */
  public static final long SECOND = 10_000, MS = 10;

  /**
   * Servers alike.
   *
   * @param cores reqs each works on at once
   * @param speed work done by a core in a unit of time
   * @param room reqs that may wait there
   * @param coldFrom part of its speed a started one has at first
   * @param coldFor how long until it has all of it
   * @param connections open ones it bears
   * @param handshake work of a new connection, tenths of a millisecond
   */
  public record Servers(
      String kind,
      int count,
      int cores,
      double speed,
      int room,
      double coldFrom,
      long coldFor,
      int connections,
      double handshake) {}

  /** A rule set with what its clients send. Work is in tenths of a millisecond at speed 1. */
  public record Set1(
      String name, double share, double work, double cv, boolean heavyTail, RequestClass rules) {}

  /**
   * How reqs come; rate is by second, of all clients. Trace holds the rate of each second in turn.
   */
  public record Load(Shape shape, double rate, double swing, long period, double[] trace) {
    /**
     * EVEN is a beat, POISSON independent, BURSTY on and off, WAVE a sine, TRACE as it was
     * recorded.
     */
    public enum Shape {
      POISSON,
      EVEN,
      BURSTY,
      WAVE,
      TRACE
    }
  }

  /** What hints say: on which share of reqs, how far off, times what. */
  public record Hints(double share, double noise, double scale) {}

  /**
   * How clients try again: so often, after a wait that doubles; honour: who follow a deny's advice.
   */
  public record Clients(int retries, long backoff, double honour, double impatient) {}

  /**
   * The list: how long news is on its way, until a death is noticed, entries told a second (0:
   * all).
   */
  public record Roster(long delay, long notice, double entries) {}

  /** One-way delays, and how much they vary. */
  public record Net(long same, long cross, long client, double jitter) {}

  /**
   * The terms the referee judges by: grace of a drain, what pushes a cold server over, slack of
   * clocks.
   */
  public record Terms(long grace, double fallMultiple, long fall, long slack) {}

  /** A stretch of the run whose service is told apart. */
  public record Window(String name, long from, long until) {}

  /** A line under expect. */
  public record Expect(String figure, String sign, double bound) {
    /** Whether a figure meets it; one that is not there does not. */
    public boolean holds(Double value) {
      return value != null
          && switch (sign) {
            case ">=" -> value >= bound;
            case "<=" -> value <= bound;
            case ">" -> value > bound;
            case "<" -> value < bound;
            default -> value == bound;
          };
    }
  }

  /** What a verdict can be asked for, beside service in a window. */
  public static final List<String> FIGURES =
      List.of(
          "broken",
          "broken.answers",
          "broken.effects",
          "broken.drains",
          "broken.cold",
          "service",
          "asked",
          "done",
          "denied",
          "aborted",
          "lost",
          "dispatches",
          "duplicate",
          "crossings",
          "p50",
          "p99",
          "p999",
          "late-drain",
          "worst-second",
          "cold-load",
          "fallen");

  public final String name, about;
  public final boolean virtual;
  public final long length;
  public final int proxies, zones;
  public final List<Servers> servers;
  public final List<Set1> sets;
  public final Load load;
  public final Hints hints;
  public final Clients clients;
  public final long frontNotice;
  public final Roster roster;
  public final Net net;
  public final Terms terms;
  public final List<Fault> faults;
  public final List<Window> windows;
  public final List<Expect> expects;
  private final int maxDispatches;
  private final boolean cancel, copies;
  private final long retryAfter;

  private Scenario(String name, ConfigurationReader t) {
    this.name = name;
    about = t.text("about", "");
    virtual = t.choice("clock", List.of("virtual", "real")).equals("virtual");
    length = seconds(t, "seconds", 20, 0.1, 3600);
    ConfigurationReader fleet = t.section("fleet");
    proxies = fleet.integer("proxies", 3, 1, virtual ? 2000 : 16);
    zones = fleet.integer("zones", 1, 1, 8);
    servers = servers(t);
    sets = sets(t);
    load = load(t.section("load"));
    ConfigurationReader h = t.section("hints");
    hints =
        new Hints(
            h.number("share", 1, 0, 1),
            h.number("noise", 0.3, 0, 10),
            h.number("scale", 1, 1e-6, 1e9));
    ConfigurationReader c = t.section("clients");
    clients =
        new Clients(
            c.integer("retries", 1, 0, 20),
            millis(c, "backoff-ms", 100, 0),
            c.number("honour", 1, 0, 1),
            c.number("impatient", 0, 0, 1));
    frontNotice = millis(t.section("front"), "notice-ms", 1000, 0);
    ConfigurationReader l = t.section("list");
    roster =
        new Roster(
            millis(l, "delay-ms", 100, 0),
            millis(l, "notice-ms", 1000, 0),
            l.number("entries-per-second", 0, 0, 1e9));
    if (!virtual && roster.entries > 0) {
      throw l.fault("entries-per-second", "can't be played on the real clock");
    }
    ConfigurationReader n = t.section("net");
    net =
        new Net(
            millis(n, "same-ms", 0.3, 0),
            millis(n, "cross-ms", 10, 0),
            millis(n, "client-ms", 0.5, 0),
            n.number("jitter", 0.2, 0, 5));
    ConfigurationReader r = t.section("rules");
    terms =
        new Terms(
            millis(r, "grace-ms", 500, 0),
            r.number("fall-multiple", 3, 1, 100),
            seconds(r, "fall-s", 3, 0.1, 600),
            millis(r, "slack-ms", virtual ? 10 : 50, 0));
    ConfigurationReader a = t.section("allow");
    maxDispatches = a.integer("dispatches", 3, 1, 16);
    cancel = a.flag("cancel", true);
    copies = a.flag("copies", true);
    retryAfter = millis(a, "retry-after-ms", 2000, 0);
    faults = faults(t);
    windows = windows(t);
    expects = expects(t);
    t.rejectUnknownKeys();
  }

  /** Reads a file with some of its keys, by their paths, set to other values written as in TOML. */
  public static Scenario read(Path file, Map<String, String> other) {
    ConfigurationReader t = ConfigurationReader.read(file);
    other.forEach(t::set);
    return new Scenario(nameOf(file), t);
  }

  /** Reads a file; the scenario's name is that of the file below a folder named scenarios. */
  public static Scenario read(Path file) {
    return read(file, Map.of());
  }

  private static String nameOf(Path file) {
    String path = file.toAbsolutePath().normalize().toString().replace('\\', '/');
    int at = path.lastIndexOf("/scenarios/");
    String name = at < 0 ? file.getFileName().toString() : path.substring(at + 11);
    return name.replaceAll("\\.toml$", "");
  }

  /** Reads a text. */
  public static Scenario of(String name, String text) {
    return new Scenario(name, ConfigurationReader.of(name, text));
  }

  private static long millis(ConfigurationReader t, String key, double otherwise, double least) {
    return Math.round(t.number(key, otherwise, least, 3_600_000) * MS);
  }

  private static long seconds(
      ConfigurationReader t, String key, double otherwise, double least, double most) {
    return Math.round(t.number(key, otherwise, least, most) * SECOND);
  }

  private static List<Servers> servers(ConfigurationReader t) {
    List<Servers> out = new ArrayList<>();
    int all = 0;
    for (ConfigurationReader s : t.sections("server")) {
      out.add(
          new Servers(
              s.text("kind", "plain"),
              s.integer("count", 1, 1, 1000),
              s.integer("cores", 1, 1, 10_000),
              s.number("speed", 1, 0.001, 1000),
              s.integer("room", 16, 0, 1_000_000),
              s.number("cold-from", 0.35, 0.01, 1),
              seconds(s, "cold-s", 6, 0, 600),
              s.integer("connections", 700, 1, 1_000_000),
              s.number("handshake-ms", 1, 0, 1000) * MS));
      all += out.get(out.size() - 1).count;
      if (all > 1000) {
        throw s.fault("count", "over 1000 servers in all");
      }
    }
    if (out.isEmpty()) {
      throw t.fault("server", "missing");
    }
    return List.copyOf(out);
  }

  private static List<Set1> sets(ConfigurationReader t) {
    List<Set1> out = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (ConfigurationReader s : t.sections("rule-set")) {
      String name = s.text("name");
      if (!names.add(name) || !name.matches("[a-z0-9-]+")) {
        throw s.fault("name", "twice, or not of a-z, 0-9 and -");
      }
      long target = millis(s, "target-ms", 600, 1);
      long timeout = millis(s, "timeout-ms", 1200, 1);
      if (target > timeout) {
        throw s.fault("target-ms", "past timeout-ms");
      }
      Idempotency effect = Idempotency.values()[EFFECTS.indexOf(s.choice("effect", EFFECTS))];
      DeduplicationScope group =
          DeduplicationScope.valueOf(
              s.choice("group", List.of("all", "zone", "cell")).toUpperCase(Locale.ROOT));
      out.add(
          new Set1(
              name,
              s.number("share", 1, 0, 1000),
              s.number("work-ms", 20, 0.1, 60_000) * MS,
              s.number("cv", 1, 0, 20),
              s.choice("tail", List.of("light", "heavy")).equals("heavy"),
              new RequestClass(
                  out.size(),
                  target,
                  timeout,
                  effect,
                  group,
                  millis(s, "window-ms", 0, 0),
                  s.number("value", 1, 0, 1e6),
                  s.number("late-value", 0, 0, 1e6),
                  false)));
    }
    if (out.isEmpty()) {
      throw t.fault("rule-set", "missing");
    }
    return List.copyOf(out);
  }

  private static Load load(ConfigurationReader l) {
    Load.Shape shape =
        Load.Shape.valueOf(
            l.choice("shape", List.of("poisson", "even", "bursty", "wave", "trace"))
                .toUpperCase(Locale.ROOT));
    double[] trace = l.numbers("trace");
    if (shape == Load.Shape.TRACE ? trace.length == 0 : trace.length > 0) {
      throw l.fault("trace", trace.length == 0 ? "missing" : "given, but shape is no trace");
    }
    if (Arrays.stream(trace).anyMatch(rate -> !(rate >= 0))) {
      throw l.fault("trace", "a negative rate");
    }
    return new Load(
        shape,
        l.number("rate", 50, 0, 1e6),
        l.number("swing", 0.5, 0, shape == Load.Shape.WAVE ? 1 : 100),
        seconds(l, "period-s", 10, 0.01, 3600),
        trace);
  }

  private List<Fault> faults(ConfigurationReader t) {
    List<Fault> out = new ArrayList<>();
    List<String> words = Arrays.stream(Fault.Kind.values()).map(Fault.Kind::word).toList();
    for (ConfigurationReader f : t.sections("fault")) {
      Fault.Kind kind = Fault.Kind.values()[words.indexOf(f.choice("kind", words))];
      if (!f.has("kind")) {
        throw f.fault("kind", "missing");
      }
      if (!(virtual ? kind.virtual : kind.real)) {
        throw f.fault(
            "kind",
            kind.word() + " can't be played on the " + (virtual ? "virtual" : "real") + " clock");
      }
      long at = seconds(f, "at-s", 0, 0, 3600);
      if (at >= length) {
        throw f.fault("at-s", at / (double) SECOND + " is past the end");
      }
      long lasts = seconds(f, "for-s", 0, 0, 3600);
      int most = kind.hitsProxies() ? proxies : servers.stream().mapToInt(Servers::count).sum();
      Fault.Hits hits =
          new Fault.Hits(
              kind.hitsRuleSets() ? f.integer("rule-set", -1, -1, sets.size() - 1) : -1, 0, -1);
      if (kind.hitsProxies() || kind.hitsServers()) {
        int zone = f.integer("zone", -1, -1, zones - 1);
        hits =
            new Fault.Hits(
                f.integer("place", -1, -1, most - 1),
                f.number("share", zone < 0 ? 0 : 1, 0, 1),
                zone);
      }
      List<Double> size = Fault.SIZES.get(kind);
      out.add(
          new Fault(
              kind,
              at,
              lasts,
              hits,
              size == null ? 0 : f.number("size", size.get(0), size.get(1), size.get(2)),
              kind == Fault.Kind.PAUSE ? seconds(f, "every-s", 3, 0.05, 3600) : 0));
    }
    return List.copyOf(out);
  }

  private List<Window> windows(ConfigurationReader t) {
    List<Window> out = new ArrayList<>();
    for (ConfigurationReader w : t.sections("window")) {
      Window one =
          new Window(
              w.text("name"),
              seconds(w, "from-s", 0, 0, 3600),
              seconds(w, "until-s", length / (double) SECOND, 0, 3600));
      if (one.until > length || one.from >= one.until) {
        throw w.fault("until-s", "past the end, or not after from-s");
      }
      out.add(one);
    }
    return List.copyOf(out);
  }

  private List<Expect> expects(ConfigurationReader t) {
    List<Expect> out = new ArrayList<>();
    ConfigurationReader e = t.section("expect");
    for (String figure : e.keys()) {
      boolean window = windows.stream().anyMatch(w -> figure.equals("service-" + w.name));
      if (!window && !FIGURES.contains(figure)) {
        throw e.fault(figure, "unknown figure");
      }
      String[] parts = e.text(figure).trim().split("\\s+");
      if (parts.length != 2 || !List.of(">=", "<=", ">", "<", "=").contains(parts[0])) {
        throw e.fault(figure, "not a sign (>=, <=, >, <, =) and a number");
      }
      try {
        out.add(new Expect(figure, parts[0], Double.parseDouble(parts[1])));
      } catch (NumberFormatException bad) {
        throw e.fault(figure, "not a number: " + parts[1]);
      }
    }
    return List.copyOf(out);
  }

  public int serverCount() {
    return servers.stream().mapToInt(Servers::count).sum();
  }

  /** The kind of the server in this place; kinds take turns, so that ids say nothing of them. */
  public Servers kindOf(int place) {
    int round = 0;
    for (int left = place; ; round++) {
      for (Servers s : servers) {
        if (round < s.count && left-- == 0) {
          return s;
        }
      }
    }
  }

  /** The work of a mean request, in time at a server of speed 1. */
  public double meanWork() {
    double all = sets.stream().mapToDouble(Set1::share).sum();
    return all > 0
        ? sets.stream().mapToDouble(s -> s.share * s.work).sum() / all
        : sets.stream().mapToDouble(Set1::work).average().orElse(1);
  }

  /** What a server bears while it is cold, by these terms. */
  public ColdBudget coldBudget() {
    return new ColdBudget(terms.fallMultiple, terms.fall, meanWork());
  }

  /** The settings one proxy is given, in the form of the proxies' own configuration. */
  public Map<String, Object> settings(int me) {
    Map<String, Object> all = new LinkedHashMap<>();
    List<Object> ruleSets = new ArrayList<>();
    for (Set1 s : sets) {
      RequestClass r = s.rules;
      Map<String, Object> one = new LinkedHashMap<>();
      one.put("name", s.name);
      one.put(
          "effect",
          List.of("read_like", "idempotency_key", "non_idempotent").get(r.idempotency().ordinal()));
      one.put("group", r.deduplicationScope().name().toLowerCase(Locale.ROOT));
      one.put("window", r.deduplicationWindow() * Settings.UNIT);
      one.put("responseTarget", r.latencyObjective() * Settings.UNIT);
      one.put("clientTimeout", r.clientTimeout() * Settings.UNIT);
      one.put("value", r.priorityWeight());
      one.put("overdueValue", r.lateWeight());
      ruleSets.add(one);
    }
    List<String> names = new ArrayList<>();
    for (int z = 0; z < zones; z++) {
      names.add("z" + z);
    }
    all.put("me", me);
    all.put("balancers", proxies);
    all.put("zones", names);
    all.put("zone", me % zones);
    all.put("kinds", servers.stream().map(Servers::kind).distinct().toList());
    all.put("ruleSets", ruleSets);
    all.put(
        "limits",
        Map.of(
            "maxDispatches",
            maxDispatches,
            "mayCancel",
            cancel,
            "mayDuplicate",
            copies,
            "retryAfter",
            retryAfter > 0,
            "maxRetryAfter",
            retryAfter * Settings.UNIT,
            "dialTimeout",
            250_000,
            "idleClose",
            30_000_000));
    long cold = servers.stream().mapToLong(Servers::coldFor).max().orElse(0);
    double from = servers.stream().mapToDouble(Servers::coldFrom).min().orElse(1);
    all.put(
        "rules",
        Map.of(
            "askEvery",
            10_000_000,
            "cold",
            cold * Settings.UNIT,
            "startCapacity",
            from,
            "fall",
            terms.fall * Settings.UNIT,
            "fallMultiple",
            terms.fallMultiple));
    return all;
  }
}
