package wheattrack.core;

/**
 * The time that the sender of a body is still allowed: an initial allowance, and more for each byte
 * received, so that a slow sender is served and one that stalls or drips is not. Times are tenths
 * of a millisecond. Not thread-safe.
 */
public final class MinimumTransferRate {
  /** The time a sender has for its first bytes. */
  private static final long INITIAL_ALLOWANCE = 20_000;

  /** The least time a sender has once reading goes on after a pause. */
  private static final long MIN_ALLOWANCE_AFTER_PAUSE = 10_000;

  /** The most time a sender can save up by being fast. */
  private static final long MAX_ALLOWANCE = 50_000;

  /**
   * The rate, in bytes per second, at which the allowance neither grows nor shrinks; half of the
   * slowest sender that is served.
   */
  private static final long BREAK_EVEN_RATE = 32_000;

  private static final long ONE_SECOND = 10_000;

  private long allowance; // as of lastUpdate
  private long lastUpdate;
  private boolean isPaused;

  /** Starts with the initial allowance. */
  public void start(long now) {
    allowance = INITIAL_ALLOWANCE;
    lastUpdate = now;
    isPaused = false;
  }

  /** Notes that this many bytes were received. */
  public void received(long now, long bytes) {
    allowance = Math.min(MAX_ALLOWANCE, remaining(now) + bytes * ONE_SECOND / BREAK_EVEN_RATE);
    lastUpdate = now;
  }

  /** Stops the time: nothing is read from the sender now, so it is not to blame. */
  public void pause(long now) {
    allowance = remaining(now);
    isPaused = true;
  }

  /** Lets the time run again. */
  public void resume(long now) {
    allowance = Math.max(MIN_ALLOWANCE_AFTER_PAUSE, remaining(now));
    lastUpdate = now;
    isPaused = false;
  }

  /** How long the next bytes may still take; 0 if the sender is too slow. */
  public long remaining(long now) {
    return isPaused ? allowance : Math.max(0, allowance - (now - lastUpdate));
  }
}
