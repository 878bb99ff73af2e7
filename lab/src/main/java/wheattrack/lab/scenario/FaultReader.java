package wheattrack.lab.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import wheattrack.config.ConfigurationReader;

/** Reads the faults of a scenario and checks them against the deployment that they hit. */
final class FaultReader {
  /** The index, zone or request class of a target if the scenario gives none. */
  private static final int NONE = -1;

  private final boolean isVirtual;
  private final long duration;
  private final Deployment deployment;

  /**
   * The size of the deployment, which bounds the targets of faults.
   *
   * @param proxies the number of proxies
   * @param backends the number of backends of all groups
   * @param zones the number of zones
   * @param requestClasses the number of request classes
   */
  record Deployment(int proxies, int backends, int zones, int requestClasses) {}

  /**
   * Creates a reader of the faults of a scenario.
   *
   * @param isVirtual whether it runs on the virtual clock
   * @param duration the length of the run, in tenths of a millisecond
   * @param deployment the size of the deployment that the faults hit
   */
  FaultReader(boolean isVirtual, long duration, Deployment deployment) {
    this.isVirtual = isVirtual;
    this.duration = duration;
    this.deployment = deployment;
  }

  /** Reads the faults of these sections, in order. */
  List<Fault> read(List<ConfigurationReader> sections) {
    List<Fault> faults = new ArrayList<>();
    for (ConfigurationReader section : sections) {
      faults.add(fault(section));
    }
    return List.copyOf(faults);
  }

  private Fault fault(ConfigurationReader section) {
    Fault.Kind kind = kind(section);
    long startsAt = Durations.seconds(section, "at-s", 0, 0, Durations.MAX_SECONDS);
    if (startsAt >= duration) {
      throw section.fault(
          "at-s",
          "expected less than the run's "
              + Scenario.toSeconds(duration)
              + " s, got "
              + Scenario.toSeconds(startsAt));
    }
    long faultDuration = Durations.seconds(section, "for-s", 0, 0, Durations.MAX_SECONDS);
    Fault.Target target = target(section, kind);
    Fault.MagnitudeRange range = kind.magnitudeRange();
    double magnitude =
        range == null ? 0 : section.number("size", range.defaultValue(), range.min(), range.max());
    long interval =
        kind == Fault.Kind.PAUSE
            ? Durations.seconds(section, "every-s", 3, 0.05, Durations.MAX_SECONDS)
            : 0;
    return new Fault(kind, startsAt, faultDuration, target, magnitude, interval);
  }

  private Fault.Kind kind(ConfigurationReader section) {
    List<String> keywords = Arrays.stream(Fault.Kind.values()).map(Fault.Kind::keyword).toList();
    Fault.Kind kind = Fault.Kind.values()[keywords.indexOf(section.choice("kind", keywords))];
    if (!section.has("kind")) {
      throw section.fault("kind", "missing");
    }
    if (!kind.isSupported(isVirtual)) {
      String clock = isVirtual ? "virtual" : "real";
      throw section.fault(
          "kind",
          "expected a kind supported on the " + clock + " clock, got '" + kind.keyword() + "'");
    }
    return kind;
  }

  private Fault.Target target(ConfigurationReader section, Fault.Kind kind) {
    if (kind.hitsProxies() || kind.hitsBackends()) {
      int population = kind.hitsProxies() ? deployment.proxies : deployment.backends;
      int zone = section.integer("zone", NONE, NONE, deployment.zones - 1);
      return new Fault.Target(
          section.integer("place", NONE, NONE, population - 1),
          section.number("share", zone < 0 ? 0 : 1, 0, 1),
          zone);
    }
    int requestClass =
        kind.mayHitOneRequestClass()
            ? section.integer("rule-set", NONE, NONE, deployment.requestClasses - 1)
            : NONE;
    return new Fault.Target(requestClass, 0, NONE);
  }
}
