package wheattrack.lab;

import wheattrack.lab.scenario.Scenario;

/** Small scenarios for tests. */
public final class ScenarioTexts {
  private ScenarioTexts() {}

  /** Three proxies before four servers and one rule set, with what else is said. */
  public static Scenario small(String effect, String more) {
    return Scenario.of(
        "small.toml",
        """
        clock = "virtual"
        seconds = 6
        [fleet]
        proxies = 3
        [[server]]
        count = 4
        cold-from = 0.1
        cold-s = 10
        [[rule-set]]
        name = "pay"
        work-ms = 20
        target-ms = 300
        timeout-ms = 900
        effect = "%s"
        [load]
        rate = 60
        """
                .formatted(effect)
            + more);
  }
}
