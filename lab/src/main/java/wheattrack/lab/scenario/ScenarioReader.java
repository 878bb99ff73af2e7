package wheattrack.lab.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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
 * Reads a scenario from TOML and checks it. Throws {@link
 * wheattrack.config.InvalidConfigurationException}, which names file, line and key, if the text is
 * invalid.
 */
public final class ScenarioReader {
  private static final String SCENARIO_DIRECTORY = "/scenarios/";
  private static final int MAX_BACKENDS = 1000;
  private static final int MAX_VIRTUAL_PROXIES = 2000;
  private static final int MAX_PROXY_PROCESSES = 16;

  private final String name;
  private final ConfigurationReader root;
  private boolean isVirtual;
  private long duration;
  private List<Window> windows;

  private ScenarioReader(String name, ConfigurationReader root) {
    this.name = name;
    this.root = root;
  }

  /**
   * Reads a file. The scenario's name is the file's path below a directory named scenarios, without
   * the extension.
   *
   * @param overrides values that replace those of the file, written as in TOML, by key path
   */
  public static Scenario read(Path file, Map<String, String> overrides) {
    ConfigurationReader root = ConfigurationReader.read(file);
    overrides.forEach(root::set);
    return new ScenarioReader(nameOf(file), root).scenario();
  }

  /** Reads a file without overrides; see {@link #read(Path, Map)}. */
  public static Scenario read(Path file) {
    return read(file, Map.of());
  }

  /** Reads a scenario of this name from a text. */
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

  /** Reads the sections in a fixed order: the first error found in it is the one reported. */
  private Scenario scenario() {
    String description = root.text("about", "");
    isVirtual = root.choice("clock", List.of("virtual", "real")).equals("virtual");
    duration = Durations.seconds(root, "seconds", 20, 0.1, Durations.MAX_SECONDS);
    ConfigurationReader fleet = root.section("fleet");
    int maxProxies = isVirtual ? MAX_VIRTUAL_PROXIES : MAX_PROXY_PROCESSES;
    int proxyCount = fleet.integer("proxies", 3, 1, maxProxies);
    int zoneCount = fleet.integer("zones", 1, 1, 8);
    List<BackendGroup> backendGroups = backendGroups();
    List<Workload> workloads = WorkloadReader.read(root);
    Load load = load(root.section("load"));
    Hints hints = hints(root.section("hints"));
    Clients clients = clients(root.section("clients"));
    long frontDetectionDelay = Durations.milliseconds(root.section("front"), "notice-ms", 1000, 0);
    Discovery discovery = discovery(root.section("list"));
    Network network = network(root.section("net"));
    Terms terms = terms(root.section("rules"));
    AttemptLimits limits = limits(root.section("allow"));
    int backendCount = backendGroups.stream().mapToInt(BackendGroup::count).sum();
    List<Fault> faults =
        faults(new FaultReader.Deployment(proxyCount, backendCount, zoneCount, workloads.size()));
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
        frontDetectionDelay,
        discovery,
        network,
        terms,
        limits,
        faults,
        windows,
        expectations);
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
              Durations.seconds(section, "cold-s", 6, 0, 600),
              section.integer("connections", 700, 1, 1_000_000),
              section.number("handshake-ms", 1, 0, 1000) * Scenario.MILLISECOND);
      groups.add(group);
      total += group.count();
      if (total > MAX_BACKENDS) {
        throw section.fault(
            "count", "expected at most " + MAX_BACKENDS + " in all groups together, got " + total);
      }
    }
    if (groups.isEmpty()) {
      throw root.fault("server", "missing");
    }
    return List.copyOf(groups);
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
      throw section.fault("trace", "missing, expected rates for shape trace");
    }
    if (!isTrace && trace.length > 0) {
      throw section.fault(
          "trace",
          "expected only with shape trace, got shape " + shape.name().toLowerCase(Locale.ROOT));
    }
    if (Arrays.stream(trace).anyMatch(rate -> !(rate >= 0))) { // NaN is rejected as well
      throw section.fault("trace", "expected rates of at least 0, got " + Arrays.toString(trace));
    }
    return new Load(
        shape,
        section.number("rate", 50, 0, 1e6),
        section.number("swing", 0.5, 0, shape == Load.Shape.WAVE ? 1 : 100),
        Durations.seconds(section, "period-s", 10, 0.01, Durations.MAX_SECONDS),
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
        Durations.milliseconds(section, "backoff-ms", 100, 0),
        section.number("honour", 1, 0, 1),
        section.number("impatient", 0, 0, 1));
  }

  private Discovery discovery(ConfigurationReader section) {
    Discovery discovery =
        new Discovery(
            Durations.milliseconds(section, "delay-ms", 100, 0),
            Durations.milliseconds(section, "notice-ms", 1000, 0),
            section.number("entries-per-second", 0, 0, 1e9));
    if (!isVirtual && discovery.entriesPerSecond() > 0) {
      throw section.fault(
          "entries-per-second",
          "expected 0 on the real clock, got " + discovery.entriesPerSecond());
    }
    return discovery;
  }

  private static Network network(ConfigurationReader section) {
    return new Network(
        Durations.milliseconds(section, "same-ms", 0.3, 0),
        Durations.milliseconds(section, "cross-ms", 10, 0),
        Durations.milliseconds(section, "client-ms", 0.5, 0),
        section.number("jitter", 0.2, 0, 5));
  }

  private Terms terms(ConfigurationReader section) {
    return new Terms(
        Durations.milliseconds(section, "grace-ms", 500, 0),
        section.number("fall-multiple", 3, 1, 100),
        Durations.seconds(section, "fall-s", 3, 0.1, 600),
        Durations.milliseconds(section, "slack-ms", isVirtual ? 10 : 50, 0));
  }

  private static AttemptLimits limits(ConfigurationReader section) {
    return new AttemptLimits(
        section.integer("dispatches", 3, 1, 16),
        section.flag("cancel", true),
        section.flag("copies", true),
        Durations.milliseconds(section, "retry-after-ms", 2000, 0));
  }

  private List<Fault> faults(FaultReader.Deployment deployment) {
    return new FaultReader(isVirtual, duration, deployment).read(root.sections("fault"));
  }

  private List<Window> windows() {
    List<Window> read = new ArrayList<>();
    for (ConfigurationReader section : root.sections("window")) {
      Window window =
          new Window(
              section.text("name"),
              Durations.seconds(section, "from-s", 0, 0, Durations.MAX_SECONDS),
              Durations.seconds(
                  section, "until-s", Scenario.toSeconds(duration), 0, Durations.MAX_SECONDS));
      if (window.until() > duration || window.from() >= window.until()) {
        throw section.fault(
            "until-s",
            "expected after from-s ("
                + Scenario.toSeconds(window.from())
                + ") and at most the run's "
                + Scenario.toSeconds(duration)
                + " s, got "
                + Scenario.toSeconds(window.until()));
      }
      read.add(window);
    }
    return List.copyOf(read);
  }

  private List<Expectation> expectations(ConfigurationReader section) {
    List<Expectation> expectations = new ArrayList<>();
    for (String metric : section.keys()) {
      boolean isWindow =
          windows.stream().anyMatch(w -> metric.equals(Metric.WINDOW_PREFIX + w.name()));
      if (!isWindow && !Metric.isKeyword(metric)) {
        throw section.fault(metric, "expected the name of a metric, got '" + metric + "'");
      }
      String condition = section.text(metric);
      String[] parts = condition.trim().split("\\s+");
      if (parts.length != 2 || !Comparison.signs().contains(parts[0])) {
        throw section.fault(
            metric, "expected a sign (>=, <=, >, <, =) and a number, got '" + condition + "'");
      }
      try {
        expectations.add(
            new Expectation(metric, Comparison.ofSign(parts[0]), Double.parseDouble(parts[1])));
      } catch (NumberFormatException e) {
        throw section.fault(metric, "expected a number after the sign, got '" + parts[1] + "'");
      }
    }
    return List.copyOf(expectations);
  }
}
