package wheattrack.discovery;

import wheattrack.api.PolicyRuntime;
import wheattrack.statistics.SeededRandom;

/**
 * When discovery is asked again after a failure: by a backoff with jitter. Without it all proxies
 * would ask in the moment in which discovery is back. Not thread-safe.
 */
public final class DiscoveryBackoff {
  private final PolicyRuntime runtime;
  private final SeededRandom random;
  private long pollInterval;
  private long backoff;
  private boolean watching;

  /** Creates a backoff that has seen no failure yet. */
  public DiscoveryBackoff(PolicyRuntime runtime, SeededRandom random) {
    this.runtime = runtime;
    this.random = random;
  }

  /** Sets how often discovery may be asked, in ticks. */
  public void setPollInterval(long interval) {
    pollInterval = interval;
  }

  /** The list has come; cached: it is only what this proxy had last, no answer to a call. */
  public void onList(boolean cached) {
    watching |= !cached;
    backoff = 0;
  }

  /** The list could not be had: it is asked for again after a wait. */
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
