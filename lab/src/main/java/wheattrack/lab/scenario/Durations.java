package wheattrack.lab.scenario;

import wheattrack.config.ConfigurationReader;

/**
 * Reads durations, which a scenario gives in seconds or milliseconds, in tenths of a millisecond.
 */
final class Durations {
  /** Longest time that a scenario may name, in seconds. */
  static final double MAX_SECONDS = 3600;

  /** Longest time that a scenario may name, in milliseconds. */
  private static final double MAX_MILLISECONDS = 3_600_000;

  private Durations() {}

  /** The value of a key in milliseconds, from min on; default and bound are milliseconds too. */
  static long milliseconds(
      ConfigurationReader section, String key, double defaultValue, double min) {
    return Math.round(
        section.number(key, defaultValue, min, MAX_MILLISECONDS) * Scenario.MILLISECOND);
  }

  /** The value of a key in seconds, from min to max; default and bounds are seconds too. */
  static long seconds(
      ConfigurationReader section, String key, double defaultValue, double min, double max) {
    return Math.round(section.number(key, defaultValue, min, max) * Scenario.SECOND);
  }
}
