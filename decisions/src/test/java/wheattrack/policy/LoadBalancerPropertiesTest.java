package wheattrack.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import wheattrack.policy.SimulatedHistory.Step;
import wheattrack.policy.SimulatedHistory.What;

/** What no history may lead to; a history that does is shrunk to the shortest one and printed. */
class LoadBalancerPropertiesTest {
  @Provide
  Arbitrary<Step> steps() {
    return Combinators.combine(
            Arbitraries.of(What.class),
            Arbitraries.integers().between(0, 99),
            Arbitraries.integers().between(2, 20))
        .as(Step::new);
  }

  /**
   * Idle ready servers and denied reqs with time left: never for longer than two tightest targets.
   */
  @Property(tries = 10_000, edgeCases = EdgeCasesMode.NONE, seed = "17")
  void nothingStandsStill(
      @ForAll @Size(max = 6) List<@net.jqwik.api.From("steps") Step> history,
      @ForAll @IntRange(min = 1, max = 4) int servers,
      @ForAll boolean async,
      @ForAll boolean many) {
    SimulatedHistory c =
        new SimulatedHistory(history.toString().hashCode(), servers, many ? 300 : 1, async, many);
    history.forEach(c::play);
    assertNull(c.fault);
  }

  /** Once all is well again, each server gets something within twenty seconds. */
  @Property(tries = 1_000, edgeCases = EdgeCasesMode.NONE, seed = "18")
  void noServerStarves(
      @ForAll @Size(max = 6) List<@net.jqwik.api.From("steps") Step> history,
      @ForAll @IntRange(min = 2, max = 4) int servers,
      @ForAll boolean async) {
    SimulatedHistory c =
        new SimulatedHistory(history.toString().hashCode(), servers, 1, async, false);
    history.forEach(c::play);
    c.calm();
    c.pass(20 * SimulatedHistory.SECOND);
    assertNull(c.fault);
    assertEquals(-1, c.starved(20 * SimulatedHistory.SECOND));
  }
}
