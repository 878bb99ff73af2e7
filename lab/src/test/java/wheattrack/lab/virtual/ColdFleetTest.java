package wheattrack.lab.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheattrack.lab.referee.ColdBudget;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;

/**
 * Guards against proxies that overload a cold backend: each proxy limits what it sends, but the sum
 * over all proxies of a fleet, with its random variation, exceeds what the backend sustains.
 */
class ColdFleetTest {
  private static final int SEEDS = 3;

  private static Scenario scenario(String name, int proxies, int collapseMultiple) {
    return ScenarioReader.read(
        Path.of("scenarios", "fleet", name + ".toml"),
        Map.of(
            "fleet.proxies",
            Integer.toString(proxies),
            "rules.fall-multiple",
            collapseMultiple + ""));
  }

  /**
   * Plays a scenario.
   *
   * @param proxyView the scenario from which the proxies' settings are made; it may differ in the
   *     number of proxies and in the collapse multiple
   */
  private static Verdict play(String name, int proxies, Scenario proxyView, long seed) {
    Scenario scenario = scenario(name, proxies, 3);
    Referee referee = new Referee(scenario);
    new VirtualRun(
            scenario, seed, Policies.factory(Policies.Kind.EQUILOAD, proxyView), true, referee)
        .run();
    return referee.verdict();
  }

  @ParameterizedTest(name = "{0}, {1} proxies")
  @CsvSource({
    "cold-ones,2",
    "cold-ones,20",
    "cold-ones,30",
    "cold-ones,100",
    "cold-all,2",
    "cold-all,20",
    "cold-all,30",
    "cold-all,100",
    "cold-zone,2",
    "cold-zone,20",
    "cold-zone,30",
    "cold-zone,100",
    "cold-few,2",
    "cold-few,20",
    "cold-few,30",
    "cold-few,100"
  })
  void noBackendCollapses(String name, int proxies) {
    IntStream.rangeClosed(1, SEEDS)
        .parallel()
        .forEach(
            seed -> {
              Verdict verdict = play(name, proxies, scenario(name, proxies, 3), seed);
              assertEquals(
                  List.of(),
                  verdict.unmetExpectations(),
                  name + ", seed " + seed + ": " + verdict.metrics());
              assertEquals(
                  0,
                  verdict.metrics().get("fallen"),
                  name + ", seed " + seed + ": collapsed backends");
            });
  }

  /**
   * Checks that the scenarios detect the failure: 100 proxies make cold backends collapse if each
   * assumes that it is the only one, in cold-few also with a collapse multiple of 30 instead of 3.
   */
  @ParameterizedTest
  @CsvSource({"cold-ones,3", "cold-all,3", "cold-zone,3", "cold-few,30"})
  void proxiesUnawareOfEachOtherMakeBackendsCollapse(String name, int collapseMultiple) {
    Scenario singleProxyView = scenario(name, 1, collapseMultiple);
    double collapses =
        IntStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToDouble(
                seed -> play(name, 100, singleProxyView, seed).metrics().get("broken.cold"))
            .sum();
    assertTrue(collapses > 0, "no backend collapsed in " + name);
  }

  /**
   * Guards against a wrong bound of the referee. N is 9 here, so that a backend sustains 9 + 2 x 3
   * + 2 = 17 requests, from any proxies, and collapses under 18.
   */
  @Test
  void budgetBound() {
    ColdBudget budget = new ColdBudget(3, 30_000, 100);
    for (int requests = 1; requests <= 17; requests++) {
      assertFalse(
          budget.add(requests, 100, 0.01, requests % 3 != 0),
          "collapsed under " + requests + " requests");
    }
    assertTrue(budget.add(18, 100, 0.01, false), "not collapsed under 18 requests");
    assertFalse(
        budget.isCausedByInformedSenders()); // 12 of 18 from notified senders: not over two thirds
    assertTrue(budget.add(19, 100, 0.01, true));
    assertTrue(budget.isCausedByInformedSenders());
    assertFalse(
        budget.add(30_020, 10_000, 0.01, true)); // one request alone never makes it collapse
    assertEquals(18 / 9.0, budget.peakLoad(), 1e-9);
  }
}
