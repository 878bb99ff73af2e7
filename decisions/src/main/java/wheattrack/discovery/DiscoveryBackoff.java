package wheattrack.discovery;

import wheattrack.api.PolicyRuntime;
import wheattrack.statistics.SeededRandom;

/**
 * Backoff with jitter between failed calls to discovery, so that the proxies do not all reconnect
 * at the moment discovery recovers. Not thread-safe.
 */
public final class DiscoveryBackoff {
  /** The backoff after an answer without a list is the poll interval divided by this. */
  private static final int ANSWERED_BACKOFF_DIVISOR = 100;

  /** The first backoff after a call without an answer is the poll interval divided by this. */
  private static final int FIRST_BACKOFF_DIVISOR = 40;

  /** The longest backoff is the poll interval divided by this. */
  private static final int MAX_BACKOFF_DIVISOR = 4;

  /** Factor from one backoff to the next while calls remain without an answer. */
  private static final int BACKOFF_GROWTH = 2;

  /** Lower bound of the random factor of a delay; the upper bound is greater by 1. */
  private static final double MIN_JITTER = 0.5;

  private final PolicyRuntime runtime;
  private final SeededRandom random;
  private long pollInterval;
  private long backoff;
  private boolean watching;

  /** Creates a backoff that has seen no failed call. */
  public DiscoveryBackoff(PolicyRuntime runtime, SeededRandom random) {
    this.runtime = runtime;
    this.random = random;
  }

  /** Sets the interval, in ticks, from which all backoffs are derived. */
  public void setPollInterval(long interval) {
    pollInterval = interval;
  }

  /**
   * Resets the backoff, as a list was received.
   *
   * @param cached whether it is the cached list, and not an answer from discovery
   */
  public void onList(boolean cached) {
    watching |= !cached;
    backoff = 0;
  }

  /**
   * Schedules the next call after a failed one.
   *
   * @param answered whether discovery answered, but without a list
   */
  public void onFailure(boolean answered) {
    watching = false;
    backoff =
        answered
            ? pollInterval / ANSWERED_BACKOFF_DIVISOR
            : Math.min(
                pollInterval / MAX_BACKOFF_DIVISOR,
                Math.max(pollInterval / FIRST_BACKOFF_DIVISOR, BACKOFF_GROWTH * backoff));
    long delay = (long) (backoff * (MIN_JITTER + random.draw()));
    runtime.schedule(delay, this::watchAgain);
  }

  private void watchAgain() {
    if (!watching) {
      runtime.watchEndpoints();
    }
  }
}
