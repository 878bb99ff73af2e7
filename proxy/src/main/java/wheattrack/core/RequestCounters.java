package wheattrack.core;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What has happened since the start: the one place that counts each event. On the loop's thread
 * only.
 */
public final class RequestCounters {
  /** How a req ended for its client. */
  public enum FinalAnswer {
    DONE,
    REJECTED,
    FAILED
  }

  /** Names counted apart; what comes under further ones stands under the last. */
  private static final int MOST = 256;

  private static final String FURTHER = "further";

  private final Map<String, long[]> byName = new LinkedHashMap<>();

  /**
   * Dispatches written whole to a backend; configurations read again and taken, and turned down,
   * those of a watched source among them; and news of such a source that holds.
   */
  public long attempts, reloadsApplied, reloadsRejected, dynamicSettingsApplied;

  /** The rule set of this name is in use, so that its counts are shown from now on, be they 0. */
  public void declare(String ruleSet) {
    of(ruleSet);
  }

  private long[] of(String ruleSet) {
    long[] known = byName.get(ruleSet);
    String name = known == null && byName.size() >= MOST ? FURTHER : ruleSet;
    return known != null
        ? known
        : byName.computeIfAbsent(name, n -> new long[FinalAnswer.values().length]);
  }

  public void countAnswer(String ruleSet, FinalAnswer how) {
    of(ruleSet)[how.ordinal()]++;
  }

  /**
   * By rule set, in the order in which they were met: counts in the order of {@link FinalAnswer}.
   */
  public Map<String, long[]> answersByClass() {
    return byName;
  }
}
