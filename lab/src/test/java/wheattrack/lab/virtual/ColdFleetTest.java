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

/**
 * What all proxies of a fleet send to a cold server together stays within what it bears, chance
 * included.
 */
class ColdFleetTest {
  private static final int SEEDS = 3;

  private static Scenario file(String name, int proxies, int multiple) {
    return Scenario.read(
        Path.of("scenarios", "fleet", name + ".toml"),
        Map.of("fleet.proxies", Integer.toString(proxies), "rules.fall-multiple", multiple + ""));
  }

  /**
   * told: what the proxies themselves are told, which may be another fleet and another multiple.
   */
  private static Verdict play(String name, int proxies, Scenario told, long seed) {
    Scenario s = file(name, proxies, 3);
    Referee referee = new Referee(s);
    new VirtualRun(s, seed, Policies.of(Policies.Kind.RULES, told), true, referee).run();
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
  void noneFalls(String name, int proxies) {
    IntStream.rangeClosed(1, SEEDS)
        .parallel()
        .forEach(
            seed -> {
              Verdict v = play(name, proxies, file(name, proxies, 3), seed);
              assertEquals(
                  List.of(), v.unmetExpectations(), name + ", seed " + seed + ": " + v.figures());
              assertEquals(0, v.figures().get("fallen"));
            });
  }

  /** A hundred, each as if it were alone (and told of a greater multiple), push servers over. */
  @ParameterizedTest
  @CsvSource({"cold-ones,3", "cold-all,3", "cold-zone,3", "cold-few,30"})
  void eachAsIfAlone(String name, int multiple) {
    Scenario alone = file(name, 1, multiple);
    double fallen =
        IntStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToDouble(seed -> play(name, 100, alone, seed).figures().get("broken.cold"))
            .sum();
    assertTrue(fallen > 0, "none was pushed over");
  }

  /**
   * N is 9 here: 9 + 2 x 3 + 2 = 17 are borne, from one process or from seventeen, and 18 are not.
   */
  @Test
  void bound() {
    ColdBudget budget = new ColdBudget(3, 30_000, 100);
    for (int i = 1; i <= 17; i++) {
      assertFalse(budget.add(i, 100, 0.01, i % 3 != 0), "fell at " + i);
    }
    assertTrue(budget.add(18, 100, 0.01, false));
    assertFalse(budget.isSendersFault()); // 12 of 18 from senders that knew: not over two thirds
    assertTrue(budget.add(19, 100, 0.01, true));
    assertTrue(budget.isSendersFault());
    assertFalse(budget.add(30_020, 10_000, 0.01, true)); // one alone never does it
    assertEquals(18 / 9.0, budget.peakLoad(), 1e-9);
  }
}
