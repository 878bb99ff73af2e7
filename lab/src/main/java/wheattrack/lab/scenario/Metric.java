package wheattrack.lab.scenario;

import java.util.Arrays;

/**
 * The metrics of a verdict, in the order of the RESULT line. The service of each window of the
 * scenario follows {@link #SERVICE} there.
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
  /** The lowest service of a single second. */
  WORST_SECOND("worst-second"),
  /** Operations started. */
  ASKED("asked"),
  /** Requests answered with success. */
  DONE("done"),
  /** Requests rejected. */
  REJECTED("denied"),
  /** Requests failed. */
  FAILED("aborted"),
  /** Requests never answered although no fault of the timeline explains it. */
  LOST("lost"),
  /** Attempts that arrived at backends. */
  ATTEMPTS("dispatches"),
  /** The share of the executed work that was spent on requests executed before. */
  REPEATED_WORK("duplicate"),
  /** The share of the attempts that went to another zone than the proxy's. */
  CROSSINGS("crossings"),
  /** Median latency in milliseconds. */
  P50("p50"),
  /** 99th percentile of the latency in milliseconds. */
  P99("p99"),
  /** 99.9th percentile of the latency in milliseconds. */
  P999("p999"),
  /**
   * The longest time, in milliseconds, from the notification that a backend is draining or gone to
   * an attempt to it.
   */
  LATE_DRAIN("late-drain"),
  /** The highest load of a cold backend, as a multiple of what it sustains. */
  COLD_LOAD("cold-load"),
  /** Backends that collapsed while cold. */
  COLLAPSES("fallen");

  /** Prefix of the metric that is the service of a window; the window's name follows. */
  public static final String WINDOW_PREFIX = "service-";

  private final String keyword;

  Metric(String keyword) {
    this.keyword = keyword;
  }

  /** Its name in the RESULT line, in reports and in scenario files. */
  public String keyword() {
    return keyword;
  }

  /** Whether a metric other than a window's service has this name. */
  static boolean isKeyword(String name) {
    return Arrays.stream(values()).anyMatch(metric -> metric.keyword.equals(name));
  }
}
