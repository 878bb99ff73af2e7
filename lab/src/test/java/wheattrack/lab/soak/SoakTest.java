package wheattrack.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Some seeds of the soak: shutdowns and upgrades with and without a crowd, judged by the operators'
 * rules.
 *
 * <p>With the proxy of before December 2026, whose channels had a thread of their own, most of
 * these seeds fail: requests beside half heads are late, and the process is alive when it is
 * killed, as the JVM waits up to 0.3 s for a thread in a system call before it exits.
 */
class SoakTest {
  private static final Path HOME = Path.of("..");
  private static final Path JAR = HOME.resolve("proxy/target/wheattrack.jar");

  /** Among them upgrades, a silent crowd, and backends that hang and drain. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 6, 9, 10, 11, 12})
  void noRuleIsBroken(long seed) throws Exception {
    assertKeepsTheRules(seed);
  }

  /**
   * Half heads, more than there are places, in three of these seeds during an upgrade, which halves
   * the places. Seen beside a busy machine: seeds 3 and 41, one late answer each (a request that
   * has waited in the accept queue is timed from when it is read); seed 122, a whole request that a
   * client sent after "Connection: close" and before the end of the stream, read and not answered.
   */
  @Tag("known-red")
  @ParameterizedTest
  @ValueSource(longs = {3, 5, 7, 41, 122})
  void noRuleIsBrokenBesideHalfHeads(long seed) throws Exception {
    assertKeepsTheRules(seed);
  }

  private static void assertKeepsTheRules(long seed) throws Exception {
    SoakPlan plan = SoakPlan.draw(seed);
    SoakCounts counts = new SoakRun(plan, HOME, JAR).play();
    boolean hasCrowd = plan.crowd() != SoakPlan.Crowd.NONE;
    String repeat = "./wheattrack lab soak --seeds " + seed + "-" + seed;
    assertEquals(
        Map.of(),
        counts.violations(hasCrowd),
        () -> "repeat: " + repeat + "; " + plan + "; " + counts.requestsText());
    assertTrue(counts.requestsText().contains("SERVING.FIRST.ANSWERED"), counts.requestsText());
  }

  @Test
  void sameSeedDrawsTheSamePlan() {
    assertEquals(SoakPlan.draw(3), SoakPlan.draw(3));
    assertNotEquals(SoakPlan.draw(3).terminateAt(), SoakPlan.draw(4).terminateAt());
  }

  /** What the pages forbid is a violation, and what they allow beside a crowd is one without it. */
  @Test
  void violationsAreWhatThePagesForbid() {
    SoakCounts counts = new SoakCounts();
    counts.count(
        SoakCounts.Phase.SERVING, SoakCounts.Position.FIRST, SoakCounts.Outcome.CLOSED_UNREAD);
    counts.count(
        SoakCounts.Phase.LEAVING, SoakCounts.Position.FURTHER, SoakCounts.Outcome.CLOSED_UNREAD);
    counts.count(SoakCounts.Phase.SERVING, SoakCounts.Position.FIRST, SoakCounts.Outcome.LATE);
    counts.count(SoakCounts.Event.STEP_FAILED, 2);
    assertEquals(Map.of("STEP_FAILED", 2, "SERVING.FIRST.LATE", 1), counts.violations(true));
    assertEquals(
        Map.of("STEP_FAILED", 2, "SERVING.FIRST.LATE", 1, "SERVING.FIRST.CLOSED_UNREAD", 1),
        counts.violations(false));
  }
}
