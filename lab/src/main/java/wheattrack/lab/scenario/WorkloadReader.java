package wheattrack.lab.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.config.ConfigurationReader;
import wheattrack.lab.scenario.Scenario.Workload;

/** Reads the workloads of a scenario: each request class with what clients send of it. */
final class WorkloadReader {
  /** Keywords of {@link Idempotency}, in the order of its constants. */
  private static final List<String> IDEMPOTENCY_KEYWORDS =
      List.of("replayable", "uniqued", "non-replayable");

  private WorkloadReader() {}

  /** Reads the workloads of the scenario: at least one, each with a name of its own. */
  static List<Workload> read(ConfigurationReader root) {
    List<Workload> workloads = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (ConfigurationReader section : root.sections("rule-set")) {
      String name = section.text("name");
      if (!names.add(name) || !name.matches("[a-z0-9-]+")) {
        throw section.fault("name", "expected a unique name of a-z, 0-9 and -, got '" + name + "'");
      }
      workloads.add(workload(section, name, workloads.size()));
    }
    if (workloads.isEmpty()) {
      throw root.fault("rule-set", "missing");
    }
    return List.copyOf(workloads);
  }

  private static Workload workload(ConfigurationReader section, String name, int index) {
    long latencyObjective = Durations.milliseconds(section, "target-ms", 600, 1);
    long clientTimeout = Durations.milliseconds(section, "timeout-ms", 1200, 1);
    if (latencyObjective > clientTimeout) {
      throw section.fault(
          "target-ms",
          "expected at most timeout-ms ("
              + Scenario.toMillis(clientTimeout)
              + "), got "
              + Scenario.toMillis(latencyObjective));
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
            Durations.milliseconds(section, "window-ms", 0, 0),
            section.number("value", 1, 0, 1e6),
            section.number("late-value", 0, 0, 1e6),
            false));
  }
}
