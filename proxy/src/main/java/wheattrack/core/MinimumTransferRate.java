package wheattrack.core;

/**
 * The time that the sender of a body has left to send its next bytes: an initial allowance,
 * extended by each byte received. A slow sender is served; one that stalls or sends a byte at a
 * time is not. Times are ticks of a tenth of a millisecond. Not thread-safe.
 */
public final class MinimumTransferRate {
  /** The time a sender has for its first bytes, in ticks. */
  private static final long INITIAL_ALLOWANCE = 20_000;

  /** The least time a sender has once reading is resumed after a pause, in ticks. */
  private static final long MIN_ALLOWANCE_AFTER_PAUSE = 10_000;

  /** The most time a fast sender can accumulate, in ticks. */
  private static final long MAX_ALLOWANCE = 50_000;

  /**
   * The rate, in bytes per second, at which the allowance neither grows nor shrinks; half the rate
   * of the slowest sender that is to be served.
   */
  private static final long BREAK_EVEN_RATE = 32_000;

  private static final long TICKS_PER_SECOND = 10_000;

  private long allowance; // in ticks, as of lastUpdate
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

  /** Extends the allowance by the time that these bytes take at {@link #BREAK_EVEN_RATE}. */
  public void received(long now, long bytes) {
    allowance =
        Math.min(MAX_ALLOWANCE, remaining(now) + bytes * TICKS_PER_SECOND / BREAK_EVEN_RATE);
    lastUpdate = now;
  }

  /** Stops the clock: while the receiver does not read, a delay is not the sender's fault. */
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
