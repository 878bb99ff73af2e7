package wheattrack.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import wheattrack.policy.SimulatedHistory.Change;
import wheattrack.policy.SimulatedHistory.Step;

/**
 * Properties that hold after any history of changes; a history that breaks one is shrunk to the
 * shortest such history and printed.
 */
class LoadBalancerPropertiesTest {
  @Provide
  Arbitrary<Step> steps() {
    return Combinators.combine(
            Arbitraries.of(Change.class),
            Arbitraries.integers().between(0, 99),
            Arbitraries.integers().between(2, 20))
        .as(Step::new);
  }

  /**
   * While a warm backend is ready and nothing is in flight, requests with time left are rejected
   * for no longer than two latency objectives.
   */
  @Property(tries = 10_000, edgeCases = EdgeCasesMode.NONE, seed = "17")
  void requestsAreNotRejectedForLongWhileNothingIsInFlight(
      @ForAll @Size(max = 6) List<@From("steps") Step> history,
      @ForAll @IntRange(min = 1, max = 4) int backendCount,
      @ForAll boolean isAsync,
      @ForAll boolean hasManyProxies) {
    SimulatedHistory simulation =
        new SimulatedHistory(
            history.toString().hashCode(),
            backendCount,
            hasManyProxies ? 300 : 1,
            isAsync,
            hasManyProxies);
    history.forEach(simulation::apply);
    assertNull(simulation.violation());
  }

  /** Once all faults are over, each backend receives an attempt within twenty seconds. */
  @Property(tries = 1_000, edgeCases = EdgeCasesMode.NONE, seed = "18")
  void noBackendStarves(
      @ForAll @Size(max = 6) List<@From("steps") Step> history,
      @ForAll @IntRange(min = 2, max = 4) int backendCount,
      @ForAll boolean isAsync) {
    SimulatedHistory simulation =
        new SimulatedHistory(history.toString().hashCode(), backendCount, 1, isAsync, false);
    history.forEach(simulation::apply);
    simulation.endAllFaults();
    simulation.advance(20 * SimulatedHistory.SECOND);
    assertNull(simulation.violation());
    assertEquals(
        -1,
        simulation.findStarvedBackend(20 * SimulatedHistory.SECOND),
        "backend that received no attempt for 20 s");
  }
}
