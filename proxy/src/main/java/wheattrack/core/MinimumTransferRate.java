package wheattrack.core;

/**
 * The time that the sender of a body has left: an initial allowance, and more for each byte
 * received, so that a slow sender is served and one that stalls or sends a byte at a time is not.
 * Times are ticks of a tenth of a millisecond. Not thread-safe.
 */
public final class MinimumTransferRate {
  /** The time a sender has for its first bytes, in ticks. */
  private static final long INITIAL_ALLOWANCE = 20_000;

  /** The least time a sender has once reading is resumed after a pause, in ticks. */
  private static final long MIN_ALLOWANCE_AFTER_PAUSE = 10_000;

  /** The most time a fast sender can accumulate, in ticks. */
  private static final long MAX_ALLOWANCE = 50_000;

  /**
   * The rate, in bytes per second, at which the allowance neither grows nor shrinks; half of the
   * slowest sender that is served.
   */
  private static final long BREAK_EVEN_RATE = 32_000;

  private static final long TICKS_PER_SECOND = 10_000;

  private long allowance; // as of lastUpdate
  private long lastUpdate;
  private boolean isPaused;

  /**
   * Starts a body, with the initial allowance.
   *
   * @param now the time in ticks, here as in the other methods
   */
  public void start(long now) {
    allowance = INITIAL_ALLOWANCE;
    lastUpdate = now;
    isPaused = false;
  }

  /** Extends the time by what this number of received bytes is worth. */
  public void received(long now, long bytes) {
    allowance =
        Math.min(MAX_ALLOWANCE, remaining(now) + bytes * TICKS_PER_SECOND / BREAK_EVEN_RATE);
    lastUpdate = now;
  }

  /** Stops the clock: while nothing is read from the sender, a delay is not its fault. */
  public void pause(long now) {
    allowance = remaining(now);
    isPaused = true;
  }

  /** Starts the clock again. */
  public void resume(long now) {
    allowance = Math.max(MIN_ALLOWANCE_AFTER_PAUSE, remaining(now));
    lastUpdate = now;
    isPaused = false;
  }

  /** How long the next bytes may still take, in ticks; 0 if the sender is too slow. */
  public long remaining(long now) {
    return isPaused ? allowance : Math.max(0, allowance - (now - lastUpdate));
  }
}
