package wheattrack.net.settings;

import wheattrack.statistics.SeededRandom;

/**
 * A pause between calls that doubles while they fail, within bounds; each delay is drawn between
 * half of the pause and all of it. Not thread-safe. Times are tenths of a millisecond.
 */
final class JitteredBackoff {
  private final long shortest;
  private final long longest;
  private final SeededRandom random;
  private long pause;

  /** A backoff without a failure so far. */
  JitteredBackoff(long shortest, long longest, long seed) {
    this.shortest = shortest;
    this.longest = longest;
    random = new SeededRandom(seed);
  }

  /** A call succeeded: the next failure begins at the shortest pause. */
  void reset() {
    pause = 0;
  }

  /** A call failed after it had been useful: the pause is the shortest one. */
  void restart() {
    pause = shortest;
  }

  /** A call failed: the pause doubles, within the bounds. */
  void increase() {
    pause = Math.min(longest, Math.max(shortest, 2 * pause));
  }

  /** Draws the delay before the next call. */
  long nextDelay() {
    return (long) (pause * (1 + random.draw()) / 2);
  }
}
