package wheattrack.config;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What one real proxy is told at its start. */
public final class ProxyConfig {
  private static final Pattern
      HOST = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}" + "|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\]"),
      PORT = Pattern.compile("\\d{1,5}");

  /**
   * Whether clients reach a bank of proxies, or each client process has one of its own beside it.
   */
  static final List<String> SHAPES = List.of("pool", "per-client");

  private static final int LEAST_SOCKETS = 64;

  /** Of the heap, a file may have this part: read, its objects are some five times as large. */
  private static final int HEAP_PART = 12;

  private static final Set<String> ONCE = Set.of("known", "seed");

  public final String name;
  public final InetSocketAddress listen;
  public final InetSocketAddress discovery;

  /** Where operators call, or null. */
  public final InetSocketAddress admin;

  public final long seed;

  /** Descriptors that the process may hold. */
  public final int maxDescriptors;

  /** Bytes of the longest body, either way. */
  public final long maxBodyBytes;

  /**
   * How long new connections may still come once the end is announced, in tenths of a millisecond.
   */
  public final long drainTime;

  /** The list of backends as this proxy last had it, in discovery's form. */
  public final Settings cachedEndpoints;

  public final Settings settings;
  private final Map<String, Object> all;

  public ProxyConfig(Map<String, Object> all) {
    this.all = all;
    Settings s = new Settings(all);
    name = s.text("name", "wheattrack");
    listen = address("listen", s.text("listen"));
    discovery = address("discovery", s.text("discovery"));
    String calls = s.text("admin", System.getenv("GW_ADMIN"));
    admin = calls == null || calls.isEmpty() ? null : address("admin", calls);
    seed = seed(s);
    maxDescriptors = s.integer("limits.sockets", 1024);
    check(maxDescriptors >= LEAST_SOCKETS, "limits.sockets", "under " + LEAST_SOCKETS);
    double megabytes = s.number("limits.body_mb", 32);
    check(megabytes >= 1, "limits.body_mb", "under 1");
    maxBodyBytes = (long) (megabytes * (1 << 20));
    drainTime = (long) (s.number("drain_ms", 500) * 10);
    check(drainTime >= 0, "drain_ms", "negative");
    String shape = s.text("shape", SHAPES.get(0));
    check(SHAPES.contains(shape), "shape", "none of " + SHAPES);
    cachedEndpoints = s.section("known");
    settings = s.section("settings");
    checkSettings();
  }

  private static void check(boolean good, String key, String fault) {
    if (!good) {
      throw new InvalidConfigurationException(key, fault);
    }
  }

  /** What the decisions could not act on, or would silently take for something else. */
  private void checkSettings() {
    List<Settings> sets = settings.sections("ruleSets");
    check(!sets.isEmpty(), "settings.ruleSets", "missing");
    Set<String> names = new HashSet<>();
    for (int i = 0; i < sets.size(); i++) {
      Settings set = sets.get(i);
      check(names.add(set.text("name")), set.key("name"), "the same as another's");
      checkRuleSet(set);
    }
    settings.requestClasses();
    settings.policySettings(settings.list("zones"));
    checkShape();
    int balancers = settings.integer("balancers", 1);
    int me = settings.integer("me", 0);
    check(balancers >= 1, "settings.balancers", "under 1");
    check(me >= 0 && me < balancers, "settings.me", "not from 0 to under balancers");
    checkLimits(settings);
    int zones = Math.max(1, settings.list("zones").size());
    int zone = settings.integer("zone", 0);
    check(zone >= 0 && zone < zones, "settings.zone", "not a place in zones");
  }

  static void checkRuleSet(Settings set) {
    check(
        Settings.EFFECTS.contains(set.text("effect")),
        set.key("effect"),
        "none of " + Settings.EFFECTS);
    check(
        Settings.GROUPS.contains(set.text("group", "all")),
        set.key("group"),
        "none of " + Settings.GROUPS);
    check(set.time("clientTimeout", 1_000_000) > 0, set.key("clientTimeout"), "not above 0");
    check(set.time("responseTarget", 1_000_000) > 0, set.key("responseTarget"), "not above 0");
    set.ruleSet(0);
  }

  static void checkLimits(Settings settings) {
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

  /** What tells the shape of a deployment, and promises that are kept no more. */
  private void checkShape() {
    check(
        settings.number("rules.budgetSpan", 0) == 0,
        "settings.rules.budgetSpan",
        "further dispatches are held to no budget any more");
    check(
        !settings.flag("rules.goneIsAdvice"),
        "settings.rules.goneIsAdvice",
        "what the list drops is gone, nothing else is known any more");
    for (String key : List.of("prices.connection", "prices.handshake", "prices.crossZone")) {
      check(settings.number(key, 0) >= 0, "settings." + key, "negative");
    }
    List<Settings> tenants = settings.sections("tenants");
    for (int i = 0; i < tenants.size(); i++) {
      check(
          tenants.get(i).number("quotaPerS", 0) >= 0,
          "settings.tenants[" + i + "].quotaPerS",
          "negative");
    }
    String how = settings.text("report.how", Settings.REPORTS.get(0));
    check(Settings.REPORTS.contains(how), "settings.report.how", "none of " + Settings.REPORTS);
    check(
        !how.equals("probe") || settings.flag("limits.probing"),
        "settings.limits.probing",
        "not true, yet reports come with probes alone");
  }

  /** The keys that differ from the running configuration's and act at a start only. */
  public List<String> changedFixedKeys(ProxyConfig running) {
    Settings mine = new Settings(all), its = new Settings(running.all);
    return Stream.of(
            "listen",
            "admin",
            "limits",
            "settings.me",
            "settings.balancers",
            "settings.zones",
            "settings.kinds",
            "settings.rules.askEvery")
        .filter(key -> !Objects.equals(mine.any(key), its.any(key)))
        .toList();
  }

  /**
   * Reads the file again for a process that runs. A key that the running configuration has must be
   * there, as a file short of one would quietly bring in its default; known and seed tell of a
   * start only.
   */
  public static ProxyConfig reread(Path file, ProxyConfig running) {
    ProxyConfig next = read(file);
    Map<String, Object> was = new HashMap<>(running.all);
    was.keySet().removeAll(ONCE);
    lacks(was, next.all, "");
    Set<String> common = null;
    for (Settings set : running.settings.sections("ruleSets")) {
      common = common == null ? new HashSet<>(set.keys()) : common;
      common.retainAll(set.keys());
    }
    for (Settings set : next.settings.sections("ruleSets")) {
      for (String key : common) {
        check(
            set.has(key),
            "settings.ruleSets." + set.text("name") + "." + key,
            "missing, all running ones have it");
      }
    }
    return next;
  }

  private static void lacks(Map<?, ?> was, Map<?, ?> now, String where) {
    was.forEach(
        (key, value) -> {
          check(now.containsKey(key), where + key, "missing, the running configuration has it");
          if (value instanceof Map<?, ?> inner) {
            check(now.get(key) instanceof Map, where + key, "not an object");
            lacks(inner, (Map<?, ?>) now.get(key), where + key + ".");
          }
        });
  }

  public static ProxyConfig read(Path file) {
    return new ProxyConfig(map(file));
  }

  /** The same at any free port of this machine, its list at the port that is given. */
  public static ProxyConfig readForTraining(Path file, int list) {
    Map<String, Object> all = map(file);
    all.put("listen", "127.0.0.1:0");
    all.put("discovery", "127.0.0.1:" + list);
    all.remove("known");
    all.put("admin", "");
    return new ProxyConfig(all);
  }

  static Map<String, Object> map(Path file) {
    try {
      long size = Files.size(file), most = Runtime.getRuntime().maxMemory() / HEAP_PART;
      if (size > most) { // 430,000 tenants: out of memory, and a stack trace
        throw new InvalidConfigurationException(
            file.toString(), size + " bytes, over the " + most + " that the heap allows");
      }
      return Json.object(Files.readString(file));
    } catch (NoSuchFileException e) {
      throw new InvalidConfigurationException(file.toString(), "no such file");
    } catch (IOException e) {
      String fault = e.getMessage() == null ? e.toString() : e.getMessage().split("\n")[0];
      throw new InvalidConfigurationException(file.toString(), "unreadable: " + fault);
    }
  }

  private static long seed(Settings s) {
    String seed = s.text("seed", "");
    try {
      return seed.isEmpty() ? System.nanoTime() : Long.parseUnsignedLong(seed, 16);
    } catch (NumberFormatException e) {
      throw new InvalidConfigurationException("seed", "not up to 16 hex digits: " + seed);
    }
  }

  /** An address in figures with its port; names are not looked up. */
  public static InetSocketAddress address(String key, String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    String port = text.substring(colon + 1);
    if (!HOST.matcher(host).matches()
        || !PORT.matcher(port).matches()
        || Integer.parseInt(port) > 65535) {
      throw new InvalidConfigurationException(
          key, "not an address in figures with a port: " + text);
    }
    try {
      return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
    } catch (UnknownHostException e) {
      throw new InvalidConfigurationException(key, "not an address: " + text);
    }
  }
}
