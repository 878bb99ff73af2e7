package wheattrack.admin;

import java.util.function.IntSupplier;
import wheattrack.core.RequestCounters;

/**
 * The metrics in the operators' format, one line each, with their values at the time of the call.
 * Runs on the event loop's thread only.
 */
public final class MetricsFormat {
  /** The names of the counts by class, in the order of {@link RequestCounters.FinalAnswer}. */
  private static final String[] FINAL_ANSWERS = {"served", "refused", "failed"};

  private static final int INITIAL_CAPACITY_CHARS = 512;
  private static final char COUNTER = 'c';
  private static final char GAUGE = 'g';

  private final RequestCounters counters;
  private final IntSupplier inFlight;
  private final IntSupplier backends;
  private final IntSupplier ejectedBackends;
  private final IntSupplier leftOutBackends;

  /**
   * Metrics from their sources.
   *
   * @param inFlight requests taken and not yet answered
   * @param backends backends on the endpoint list
   * @param ejectedBackends those of them that are ejected now
   * @param leftOutBackends backends beyond the number that can be known at once
   */
  public MetricsFormat(
      RequestCounters counters,
      IntSupplier inFlight,
      IntSupplier backends,
      IntSupplier ejectedBackends,
      IntSupplier leftOutBackends) {
    this.counters = counters;
    this.inFlight = inFlight;
    this.backends = backends;
    this.ejectedBackends = ejectedBackends;
    this.leftOutBackends = leftOutBackends;
  }

  /** All metrics. */
  public String text() {
    StringBuilder text = new StringBuilder(INITIAL_CAPACITY_CHARS);
    counters.answersByClass().forEach((name, counts) -> appendClass(text, name, counts));
    append(text, "attempts", counters.attempts(), COUNTER);
    append(text, "in_flight", inFlight.getAsInt(), GAUGE);
    append(text, "backends_known", backends.getAsInt(), GAUGE);
    append(text, "backends_excluded", ejectedBackends.getAsInt(), GAUGE);
    append(text, "backends_left_out", leftOutBackends.getAsInt(), GAUGE);
    append(text, "settings_told", counters.dynamicSettingsApplied(), COUNTER);
    append(text, "reloads_ok", counters.reloadsApplied(), COUNTER);
    append(text, "reloads_failed", counters.reloadsRejected(), COUNTER);
    return text.toString();
  }

  private static void appendClass(StringBuilder text, String className, long[] counts) {
    for (int i = 0; i < FINAL_ANSWERS.length; i++) {
      append(text, FINAL_ANSWERS[i] + "." + escaped(className), counts[i], COUNTER);
    }
  }

  private static void append(StringBuilder text, String name, long value, char type) {
    text.append("proxy.")
        .append(name)
        .append(':')
        .append(value)
        .append('|')
        .append(type)
        .append('\n');
  }

  /** The name without characters that would end or split its line. */
  private static String escaped(String name) {
    return name.replaceAll("[^!-~]|[:|@#]", "_");
  }
}
