package wheattrack.lab.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.config.ConfigurationReader;
import wheattrack.lab.scenario.Scenario.AttemptLimits;
import wheattrack.lab.scenario.Scenario.BackendGroup;
import wheattrack.lab.scenario.Scenario.Clients;
import wheattrack.lab.scenario.Scenario.Discovery;
import wheattrack.lab.scenario.Scenario.Expectation;
import wheattrack.lab.scenario.Scenario.Hints;
import wheattrack.lab.scenario.Scenario.Load;
import wheattrack.lab.scenario.Scenario.Network;
import wheattrack.lab.scenario.Scenario.Terms;
import wheattrack.lab.scenario.Scenario.Window;
import wheattrack.lab.scenario.Scenario.Workload;

/**
 * Reads a scenario from TOML and checks it. A fault of the text ends in {@link
 * wheattrack.config.InvalidConfigurationException}, which names file, line and key.
 */
public final class ScenarioReader {
  /** Keywords of {@link Idempotency}, in the order of its constants. */
  private static final List<String> IDEMPOTENCY_KEYWORDS =
      List.of("replayable", "uniqued", "non-replayable");

  private static final List<String> SIGNS = List.of(">=", "<=", ">", "<", "=");
  private static final String SCENARIO_DIRECTORY = "/scenarios/";
  private static final int MAX_BACKENDS = 1000;
  private static final int MAX_VIRTUAL_PROXIES = 2000;
  private static final int MAX_PROXY_PROCESSES = 16;

  /** Longest time that a scenario may name, in seconds. */
  private static final double MAX_SECONDS = 3600;

  /** Longest time that a scenario may name, in milliseconds. */
  private static final double MAX_MILLISECONDS = 3_600_000;

  private final String name;
  private final ConfigurationReader root;
  private boolean isVirtual;
  private long duration;
  private int proxyCount;
  private int zoneCount;
  private List<BackendGroup> backendGroups;
  private List<Workload> workloads;
  private List<Window> windows;

  private ScenarioReader(String name, ConfigurationReader root) {
    this.name = name;
    this.root = root;
  }

  /**
   * Reads a file with some of its keys, given by their paths, set to other values, written as in
   * TOML. The scenario's name is that of the file below a directory named scenarios.
   */
  public static Scenario read(Path file, Map<String, String> overrides) {
    ConfigurationReader root = ConfigurationReader.read(file);
    overrides.forEach(root::set);
    return new ScenarioReader(nameOf(file), root).scenario();
  }

  /** Reads a file; the scenario's name is that of the file below a directory named scenarios. */
  public static Scenario read(Path file) {
    return read(file, Map.of());
  }

  /** Reads a text. */
  public static Scenario parse(String name, String text) {
    return new ScenarioReader(name, ConfigurationReader.of(name, text)).scenario();
  }

  private static String nameOf(Path file) {
    String path = file.toAbsolutePath().normalize().toString().replace('\\', '/');
    int directory = path.lastIndexOf(SCENARIO_DIRECTORY);
    String name =
        directory < 0
            ? file.getFileName().toString()
            : path.substring(directory + SCENARIO_DIRECTORY.length());
    return name.replaceAll("\\.toml$", "");
  }

  /** Reads the sections in a fixed order: of several faults of a text the first one is reported. */
  private Scenario scenario() {
    String description = root.text("about", "");
    isVirtual = root.choice("clock", List.of("virtual", "real")).equals("virtual");
    duration = seconds(root, "seconds", 20, 0.1, MAX_SECONDS);
    ConfigurationReader fleet = root.section("fleet");
    int maxProxies = isVirtual ? MAX_VIRTUAL_PROXIES : MAX_PROXY_PROCESSES;
    proxyCount = fleet.integer("proxies", 3, 1, maxProxies);
    zoneCount = fleet.integer("zones", 1, 1, 8);
    backendGroups = backendGroups();
    workloads = workloads();
    Load load = load(root.section("load"));
    Hints hints = hints(root.section("hints"));
    Clients clients = clients(root.section("clients"));
    long frontNotice = milliseconds(root.section("front"), "notice-ms", 1000, 0);
    Discovery discovery = discovery(root.section("list"));
    Network network = network(root.section("net"));
    Terms terms = terms(root.section("rules"));
    AttemptLimits limits = limits(root.section("allow"));
    List<Fault> faults = faults();
    windows = windows();
    List<Expectation> expectations = expectations(root.section("expect"));
    root.rejectUnknownKeys();
    return new Scenario(
        name,
        description,
        isVirtual,
        duration,
        proxyCount,
        zoneCount,
        backendGroups,
        workloads,
        load,
        hints,
        clients,
        frontNotice,
        discovery,
        network,
        terms,
        limits,
        faults,
        windows,
        expectations);
  }

  private static long milliseconds(
      ConfigurationReader section, String key, double defaultValue, double min) {
    return Math.round(
        section.number(key, defaultValue, min, MAX_MILLISECONDS) * Scenario.MILLISECOND);
  }

  private static long seconds(
      ConfigurationReader section, String key, double defaultValue, double min, double max) {
    return Math.round(section.number(key, defaultValue, min, max) * Scenario.SECOND);
  }

  private List<BackendGroup> backendGroups() {
    List<BackendGroup> groups = new ArrayList<>();
    int total = 0;
    for (ConfigurationReader section : root.sections("server")) {
      BackendGroup group =
          new BackendGroup(
              section.text("kind", "plain"),
              section.integer("count", 1, 1, MAX_BACKENDS),
              section.integer("cores", 1, 1, 10_000),
              section.number("speed", 1, 0.001, 1000),
              section.integer("room", 16, 0, 1_000_000),
              section.number("cold-from", 0.35, 0.01, 1),
              seconds(section, "cold-s", 6, 0, 600),
              section.integer("connections", 700, 1, 1_000_000),
              section.number("handshake-ms", 1, 0, 1000) * Scenario.MILLISECOND);
      groups.add(group);
      total += group.count();
      if (total > MAX_BACKENDS) {
        throw section.fault("count", "over 1000 servers in all");
      }
    }
    if (groups.isEmpty()) {
      throw root.fault("server", "missing");
    }
    return List.copyOf(groups);
  }

  private List<Workload> workloads() {
    List<Workload> found = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (ConfigurationReader section : root.sections("rule-set")) {
      String workloadName = section.text("name");
      if (!names.add(workloadName) || !workloadName.matches("[a-z0-9-]+")) {
        throw section.fault("name", "twice, or not of a-z, 0-9 and -");
      }
      found.add(workload(section, workloadName, found.size()));
    }
    if (found.isEmpty()) {
      throw root.fault("rule-set", "missing");
    }
    return List.copyOf(found);
  }

  private static Workload workload(ConfigurationReader section, String name, int index) {
    long latencyObjective = milliseconds(section, "target-ms", 600, 1);
    long clientTimeout = milliseconds(section, "timeout-ms", 1200, 1);
    if (latencyObjective > clientTimeout) {
      throw section.fault("target-ms", "past timeout-ms");
    }
    Idempotency idempotency =
        Idempotency.values()[
            IDEMPOTENCY_KEYWORDS.indexOf(section.choice("effect", IDEMPOTENCY_KEYWORDS))];
    DeduplicationScope scope =
        DeduplicationScope.valueOf(
            section.choice("group", List.of("all", "zone", "cell")).toUpperCase(Locale.ROOT));
    return new Workload(
        name,
        section.number("share", 1, 0, 1000),
        section.number("work-ms", 20, 0.1, 60_000) * Scenario.MILLISECOND,
        section.number("cv", 1, 0, 20),
        section.choice("tail", List.of("light", "heavy")).equals("heavy"),
        new RequestClass(
            index,
            latencyObjective,
            clientTimeout,
            idempotency,
            scope,
            milliseconds(section, "window-ms", 0, 0),
            section.number("value", 1, 0, 1e6),
            section.number("late-value", 0, 0, 1e6),
            false));
  }

  private static Load load(ConfigurationReader section) {
    Load.Shape shape =
        Load.Shape.valueOf(
            section
                .choice("shape", List.of("poisson", "even", "bursty", "wave", "trace"))
                .toUpperCase(Locale.ROOT));
    double[] trace = section.numbers("trace");
    boolean isTrace = shape == Load.Shape.TRACE;
    if (isTrace && trace.length == 0) {
      throw section.fault("trace", "missing");
    }
    if (!isTrace && trace.length > 0) {
      throw section.fault("trace", "given, but shape is no trace");
    }
    if (Arrays.stream(trace).anyMatch(rate -> !(rate >= 0))) { // NaN is rejected as well
      throw section.fault("trace", "a negative rate");
    }
    return new Load(
        shape,
        section.number("rate", 50, 0, 1e6),
        section.number("swing", 0.5, 0, shape == Load.Shape.WAVE ? 1 : 100),
        seconds(section, "period-s", 10, 0.01, MAX_SECONDS),
        trace);
  }

  private static Hints hints(ConfigurationReader section) {
    return new Hints(
        section.number("share", 1, 0, 1),
        section.number("noise", 0.3, 0, 10),
        section.number("scale", 1, 1e-6, 1e9));
  }

  private static Clients clients(ConfigurationReader section) {
    return new Clients(
        section.integer("retries", 1, 0, 20),
        milliseconds(section, "backoff-ms", 100, 0),
        section.number("honour", 1, 0, 1),
        section.number("impatient", 0, 0, 1));
  }

  private Discovery discovery(ConfigurationReader section) {
    Discovery discovery =
        new Discovery(
            milliseconds(section, "delay-ms", 100, 0),
            milliseconds(section, "notice-ms", 1000, 0),
            section.number("entries-per-second", 0, 0, 1e9));
    if (!isVirtual && discovery.entriesPerSecond() > 0) {
      throw section.fault("entries-per-second", "can't be played on the real clock");
    }
    return discovery;
  }

  private static Network network(ConfigurationReader section) {
    return new Network(
        milliseconds(section, "same-ms", 0.3, 0),
        milliseconds(section, "cross-ms", 10, 0),
        milliseconds(section, "client-ms", 0.5, 0),
        section.number("jitter", 0.2, 0, 5));
  }

  private Terms terms(ConfigurationReader section) {
    return new Terms(
        milliseconds(section, "grace-ms", 500, 0),
        section.number("fall-multiple", 3, 1, 100),
        seconds(section, "fall-s", 3, 0.1, 600),
        milliseconds(section, "slack-ms", isVirtual ? 10 : 50, 0));
  }

  private static AttemptLimits limits(ConfigurationReader section) {
    return new AttemptLimits(
        section.integer("dispatches", 3, 1, 16),
        section.flag("cancel", true),
        section.flag("copies", true),
        milliseconds(section, "retry-after-ms", 2000, 0));
  }

  private List<Fault> faults() {
    List<Fault> faults = new ArrayList<>();
    for (ConfigurationReader section : root.sections("fault")) {
      faults.add(fault(section));
    }
    return List.copyOf(faults);
  }

  private Fault fault(ConfigurationReader section) {
    Fault.Kind kind = faultKind(section);
    long startsAt = seconds(section, "at-s", 0, 0, MAX_SECONDS);
    if (startsAt >= duration) {
      throw section.fault("at-s", Scenario.toSeconds(startsAt) + " is past the end");
    }
    long lasts = seconds(section, "for-s", 0, 0, MAX_SECONDS);
    Fault.Target target = target(section, kind);
    Fault.MagnitudeRange range = kind.magnitudeRange();
    double magnitude =
        range == null ? 0 : section.number("size", range.defaultValue(), range.min(), range.max());
    long interval =
        kind == Fault.Kind.PAUSE ? seconds(section, "every-s", 3, 0.05, MAX_SECONDS) : 0;
    return new Fault(kind, startsAt, lasts, target, magnitude, interval);
  }

  private Fault.Kind faultKind(ConfigurationReader section) {
    List<String> keywords = Arrays.stream(Fault.Kind.values()).map(Fault.Kind::keyword).toList();
    Fault.Kind kind = Fault.Kind.values()[keywords.indexOf(section.choice("kind", keywords))];
    if (!section.has("kind")) {
      throw section.fault("kind", "missing");
    }
    if (!kind.isPlayable(isVirtual)) {
      String clock = isVirtual ? "virtual" : "real";
      throw section.fault("kind", kind.keyword() + " can't be played on the " + clock + " clock");
    }
    return kind;
  }

  private Fault.Target target(ConfigurationReader section, Fault.Kind kind) {
    if (kind.hitsProxies() || kind.hitsBackends()) {
      int population =
          kind.hitsProxies()
              ? proxyCount
              : backendGroups.stream().mapToInt(BackendGroup::count).sum();
      int zone = section.integer("zone", -1, -1, zoneCount - 1);
      return new Fault.Target(
          section.integer("place", -1, -1, population - 1),
          section.number("share", zone < 0 ? 0 : 1, 0, 1),
          zone);
    }
    int requestClass =
        kind.mayHitOneRequestClass()
            ? section.integer("rule-set", -1, -1, workloads.size() - 1)
            : -1;
    return new Fault.Target(requestClass, 0, -1);
  }

  private List<Window> windows() {
    List<Window> found = new ArrayList<>();
    for (ConfigurationReader section : root.sections("window")) {
      Window window =
          new Window(
              section.text("name"),
              seconds(section, "from-s", 0, 0, MAX_SECONDS),
              seconds(section, "until-s", Scenario.toSeconds(duration), 0, MAX_SECONDS));
      if (window.until() > duration || window.from() >= window.until()) {
        throw section.fault("until-s", "past the end, or not after from-s");
      }
      found.add(window);
    }
    return List.copyOf(found);
  }

  private List<Expectation> expectations(ConfigurationReader section) {
    List<Expectation> expectations = new ArrayList<>();
    for (String metric : section.keys()) {
      boolean isWindow = windows.stream().anyMatch(w -> metric.equals("service-" + w.name()));
      if (!isWindow && !Scenario.METRICS.contains(metric)) {
        throw section.fault(metric, "unknown figure");
      }
      String[] parts = section.text(metric).trim().split("\\s+");
      if (parts.length != 2 || !SIGNS.contains(parts[0])) {
        throw section.fault(metric, "not a sign (>=, <=, >, <, =) and a number");
      }
      try {
        expectations.add(new Expectation(metric, parts[0], Double.parseDouble(parts[1])));
      } catch (NumberFormatException e) {
        throw section.fault(metric, "not a number: " + parts[1]);
      }
    }
    return List.copyOf(expectations);
  }
}
