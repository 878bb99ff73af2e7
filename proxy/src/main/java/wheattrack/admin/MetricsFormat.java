package wheattrack.admin;

import java.util.function.IntSupplier;
import wheattrack.core.RequestCounters;

/**
 * The figures in the operators' form, a line each, as they are when asked for. On the loop's thread
 * only.
 */
public final class MetricsFormat {
  private static final String[] ENDS = {"served", "refused", "failed"};

  private final RequestCounters counts;
  private final IntSupplier open, listed, avoided, leftOut;

  /**
   * open: reqs taken and not ended; listed, avoided: backends on the list, and those kept away from
   * now; leftOut: those beyond the number that can be known at once.
   */
  public MetricsFormat(
      RequestCounters counts,
      IntSupplier open,
      IntSupplier listed,
      IntSupplier avoided,
      IntSupplier leftOut) {
    this.leftOut = leftOut;
    this.counts = counts;
    this.open = open;
    this.listed = listed;
    this.avoided = avoided;
  }

  /** The whole text. */
  public String text() {
    StringBuilder out = new StringBuilder(512);
    counts
        .answersByClass()
        .forEach(
            (name, ends) -> {
              for (int i = 0; i < ENDS.length; i++) {
                line(out, ENDS[i] + "." + harmless(name), ends[i], 'c');
              }
            });
    line(out, "attempts", counts.attempts(), 'c');
    line(out, "in_flight", open.getAsInt(), 'g');
    line(out, "backends_known", listed.getAsInt(), 'g');
    line(out, "backends_excluded", avoided.getAsInt(), 'g');
    line(out, "backends_left_out", leftOut.getAsInt(), 'g');
    line(out, "settings_told", counts.dynamicSettingsApplied(), 'c');
    line(out, "reloads_ok", counts.reloadsApplied(), 'c');
    line(out, "reloads_failed", counts.reloadsRejected(), 'c');
    return out.toString();
  }

  private static void line(StringBuilder out, String name, long value, char kind) {
    out.append("proxy.")
        .append(name)
        .append(':')
        .append(value)
        .append('|')
        .append(kind)
        .append('\n');
  }

  /** A name that can't end or split its line. */
  private static String harmless(String name) {
    return name.replaceAll("[^!-~]|[:|@#]", "_");
  }
}
