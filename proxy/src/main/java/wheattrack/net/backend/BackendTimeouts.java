package wheattrack.net.backend;

import wheattrack.config.Settings;

/**
 * Timeouts of connections to backends, in tenths of a millisecond.
 *
 * @param connect how long connecting may take
 * @param idleClose time after which a backend closes an idle connection; 0: never
 */
public record BackendTimeouts(long connect, long idleClose) {
  private static final long DEFAULT_CONNECT_MICROS = 250_000;

  /** The timeouts that these settings contain, or their defaults. */
  public static BackendTimeouts of(Settings settings) {
    return new BackendTimeouts(
        settings.time("limits.dialTimeout", DEFAULT_CONNECT_MICROS),
        settings.time("limits.idleClose", 0));
  }
}
