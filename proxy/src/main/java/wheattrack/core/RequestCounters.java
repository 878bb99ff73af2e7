package wheattrack.core;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts, since the start of the process, final answers to requests, attempts and changes of the
 * configuration. Runs on the event loop's thread only.
 */
public final class RequestCounters {
  /** How a request ended for its client. */
  public enum FinalAnswer {
    /** The client received a backend's response. */
    DONE,

    /** The request was rejected. */
    REJECTED,

    /** The request failed after it had been admitted. */
    FAILED
  }

  /** The counts of the final answers to the requests of one class. */
  public static final class AnswerCounts {
    private final long[] counts = new long[FinalAnswer.values().length];

    private void increment(FinalAnswer answer) {
      counts[answer.ordinal()]++;
    }

    /** How many requests got this answer. */
    public long get(FinalAnswer answer) {
      return counts[answer.ordinal()];
    }
  }

  /** The most classes counted separately; others are counted as {@link #OVERFLOW_NAME}. */
  private static final int MAX_CLASSES = 256;

  private static final String OVERFLOW_NAME = "further";

  private final Map<String, AnswerCounts> answersByClass = new LinkedHashMap<>();
  private long attempts;
  private long reloadsApplied;
  private long reloadsRejected;
  private long dynamicSettingsApplied;

  /** Registers a request class, so that its counts are reported even while they are 0. */
  public void declare(String requestClass) {
    countsOf(requestClass);
  }

  /** Counts a final answer to a request of this class. */
  public void countAnswer(String requestClass, FinalAnswer answer) {
    countsOf(requestClass).increment(answer);
  }

  private AnswerCounts countsOf(String requestClass) {
    AnswerCounts known = answersByClass.get(requestClass);
    if (known != null) {
      return known;
    }
    String name = answersByClass.size() < MAX_CLASSES ? requestClass : OVERFLOW_NAME;
    return answersByClass.computeIfAbsent(name, key -> new AnswerCounts());
  }

  /** The final answers by request class, in the order in which the classes were first named. */
  public Map<String, AnswerCounts> answersByClass() {
    return Collections.unmodifiableMap(answersByClass);
  }

  /** Counts an attempt whose request was completely written to a backend. */
  public void countAttempt() {
    attempts++;
  }

  /** The number of attempts whose request was completely written to a backend. */
  public long attempts() {
    return attempts;
  }

  /** Counts a configuration that was read again and applied. */
  public void countReloadApplied() {
    reloadsApplied++;
  }

  /** The number of configurations that were read again and applied. */
  public long reloadsApplied() {
    return reloadsApplied;
  }

  /** Counts a configuration, read again or from a watched source, that was rejected as invalid. */
  public void countReloadRejected() {
    reloadsRejected++;
  }

  /** The number of configurations, reread or from a watched source, rejected as invalid. */
  public long reloadsRejected() {
    return reloadsRejected;
  }

  /** Counts a valid change of the settings from a watched source. */
  public void countDynamicSettingsApplied() {
    dynamicSettingsApplied++;
  }

  /** The number of valid changes of the settings from a watched source. */
  public long dynamicSettingsApplied() {
    return dynamicSettingsApplied;
  }
}
