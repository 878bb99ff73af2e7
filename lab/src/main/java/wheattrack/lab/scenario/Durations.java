package wheattrack.lab.scenario;

import wheattrack.config.ConfigurationReader;

/**
 * Reads durations, which a scenario gives in seconds or milliseconds, and converts them to tenths
 * of a millisecond.
 */
final class Durations {
  /** Longest duration that a scenario may give, in seconds. */
  static final double MAX_SECONDS = 3600;

  /** Longest duration that a scenario may give, in milliseconds. */
  private static final double MAX_MILLISECONDS = 3_600_000;

  private Durations() {}

  /**
   * Reads a key given in milliseconds; returns tenths of a millisecond. The default and the lower
   * bound are in milliseconds, too.
   */
  static long milliseconds(
      ConfigurationReader section, String key, double defaultValue, double min) {
    return Math.round(
        section.number(key, defaultValue, min, MAX_MILLISECONDS) * Scenario.MILLISECOND);
  }

  /**
   * Reads a key given in seconds; returns tenths of a millisecond. The default and both bounds,
   * which are allowed themselves, are in seconds, too.
   */
  static long seconds(
      ConfigurationReader section, String key, double defaultValue, double min, double max) {
    return Math.round(section.number(key, defaultValue, min, max) * Scenario.SECOND);
  }
}
