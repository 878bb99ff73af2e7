package wheattrack.lab;

import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;

/** Builds small scenarios for tests. */
public final class ScenarioTexts {
  private ScenarioTexts() {}

  /**
   * A scenario with three proxies, four backends and one request class.
   *
   * @param effect the effect of the request class
   * @param extraText further sections, as TOML
   */
  public static Scenario smallScenario(String effect, String extraText) {
    return ScenarioReader.parse(
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
            + extraText);
  }
}
