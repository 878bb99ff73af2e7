package wheattrack.discovery;

import wheattrack.api.PolicyRuntime;
import wheattrack.statistics.SeededRandom;

/**
 * Backoff with jitter between failed calls to discovery, so that the proxies do not all reconnect
 * at the moment discovery recovers. Not thread-safe.
 */
public final class DiscoveryBackoff {
  private final PolicyRuntime runtime;
  private final SeededRandom random;
  private long pollInterval;
  private long backoff;
  private boolean watching;

  /** Creates a backoff in its initial state. */
  public DiscoveryBackoff(PolicyRuntime runtime, SeededRandom random) {
    this.runtime = runtime;
    this.random = random;
  }

  /** Sets the shortest interval between calls to discovery, in ticks. */
  public void setPollInterval(long interval) {
    pollInterval = interval;
  }

  /** A list was received; {@code cached} says that it is the last known one, not an answer. */
  public void onList(boolean cached) {
    watching |= !cached;
    backoff = 0;
  }

  /**
   * A call failed: schedules the next one.
   *
   * @param answered whether discovery answered, though not with a list
   */
  public void onFailure(boolean answered) {
    watching = false;
    backoff =
        answered
            ? pollInterval / 100
            : Math.min(pollInterval / 4, Math.max(pollInterval / 40, 2 * backoff));
    long delay = (long) (backoff * (0.5 + random.draw()));
    runtime.schedule(delay, this::watchAgain);
  }

  private void watchAgain() {
    if (!watching) {
      runtime.watchEndpoints();
    }
  }
}
