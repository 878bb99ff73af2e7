package wheattrack.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** Plays soak runs one after another, each from its own seed, and prints the results. */
public final class SoakCommand {
  private SoakCommand() {}

  /**
   * Plays the seeds. If a seed broke a rule, prints which rules and the command that repeats it.
   *
   * @param home the repository's folder
   * @param jar the proxy's program
   * @param firstSeed the first seed to play
   * @param lastSeed the last seed to play, not below the first
   * @return whether no seed broke a rule
   */
  public static boolean run(Path home, Path jar, long firstSeed, long lastSeed)
      throws IOException, InterruptedException {
    SoakCounts total = new SoakCounts();
    long brokenSeeds = 0;
    for (long seed = firstSeed; seed <= lastSeed; seed++) {
      SoakPlan plan = SoakPlan.draw(seed);
      SoakCounts counts = new SoakRun(plan, home, jar).play();
      Map<String, Integer> violations = counts.violations(plan.crowd() != SoakPlan.Crowd.NONE);
      System.out.println((violations.isEmpty() ? "kept " : "broken ") + plan);
      System.out.println("  " + counts.requestsText());
      if (!violations.isEmpty()) {
        brokenSeeds++;
        System.out.println("  broken: " + violations);
        System.out.println("  repeat: ./wheattrack lab soak --seeds " + seed + "-" + seed);
      }
      total.addAll(counts);
    }
    long seeds = lastSeed - firstSeed + 1;
    System.out.println("in all " + total.requestsText());
    System.out.println("RESULT soak: " + seeds + " seeds, " + brokenSeeds + " broken");
    return brokenSeeds == 0;
  }
}
