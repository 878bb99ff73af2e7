package wheattrack.net.settings;

import wheattrack.statistics.SeededRandom;

/**
 * A pause between calls that doubles with each failed call, within bounds. Each delay is drawn at
 * random between half the pause and the full pause. Not thread-safe. Times are tenths of a
 * millisecond.
 */
final class JitteredBackoff {
  private final long shortest;
  private final long longest;
  private final SeededRandom random;
  private long pause;

  /**
   * Creates a backoff for a first call.
   *
   * @param shortest lower bound of the pause
   * @param longest upper bound of the pause
   * @param seed seed of the random numbers
   */
  JitteredBackoff(long shortest, long longest, long seed) {
    this.shortest = shortest;
    this.longest = longest;
    random = new SeededRandom(seed);
  }

  /**
   * Sets the pause to 0, after a call that succeeded; the next increase sets the shortest pause.
   */
  void reset() {
    pause = 0;
  }

  /** Sets the shortest pause, after a call that failed but had delivered valid data before. */
  void useShortestPause() {
    pause = shortest;
  }

  /** Doubles the pause, within the bounds, after a call that failed. */
  void increase() {
    pause = Math.min(longest, Math.max(shortest, 2 * pause));
  }

  /** Draws the delay before the next call. */
  long nextDelay() {
    return (long) (pause * (1 + random.draw()) / 2);
  }
}
