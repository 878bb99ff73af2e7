package wheattrack.lab.scenario;

import java.util.Arrays;

/**
 * The metrics of a verdict, in the order of the RESULT line. The service in each window of the
 * scenario comes in addition, after {@link #SERVICE}.
 */
public enum Metric {
  /** Violations of all rules. */
  BROKEN("broken"),
  /** Violations of the rule on answers. */
  BROKEN_ANSWERS("broken.answers"),
  /** Violations of the rule on effects. */
  BROKEN_EFFECTS("broken.effects"),
  /** Violations of the rule on draining backends. */
  BROKEN_DRAINS("broken.drains"),
  /** Violations of the rule on backends that warm up. */
  BROKEN_COLD("broken.cold"),
  /** Value earned as a share of the value offered. */
  SERVICE("service"),
  /** The lowest service in one second. */
  WORST_SECOND("worst-second"),
  /** Operations started. */
  ASKED("asked"),
  /** Requests answered with success. */
  DONE("done"),
  /** Requests rejected. */
  REJECTED("denied"),
  /** Requests failed. */
  FAILED("aborted"),
  /** Requests never answered, for no fault of the timeline. */
  LOST("lost"),
  /** Attempts that arrived at backends. */
  ATTEMPTS("dispatches"),
  /** The share of the executed work that was executed again. */
  REPEATED_WORK("duplicate"),
  /** The share of the attempts that left the proxy's zone. */
  CROSSINGS("crossings"),
  /** Median latency in milliseconds. */
  P50("p50"),
  /** 99th percentile of the latency in milliseconds. */
  P99("p99"),
  /** 99.9th percentile of the latency in milliseconds. */
  P999("p999"),
  /** The longest time, in milliseconds, from the notice of a drain to an attempt against it. */
  LATE_DRAIN("late-drain"),
  /** The highest load of a cold backend, as a multiple of what it sustains. */
  COLD_LOAD("cold-load"),
  /** Backends that collapsed while cold. */
  COLLAPSES("fallen");

  /** What the name of the service in a window begins with. */
  public static final String WINDOW_PREFIX = "service-";

  private final String keyword;

  Metric(String keyword) {
    this.keyword = keyword;
  }

  /** Its name in the RESULT line, in reports and in scenario files. */
  public String keyword() {
    return keyword;
  }

  /** Whether a metric has this name; windows are not known here. */
  static boolean isKeyword(String name) {
    return Arrays.stream(values()).anyMatch(metric -> metric.keyword.equals(name));
  }
}
