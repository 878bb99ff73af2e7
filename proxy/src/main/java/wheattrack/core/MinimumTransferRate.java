package wheattrack.core;

/**
 * How long a body may keep us waiting: some time to begin with, and more for each byte that comes,
 * so that a slow sender is served and one that stalls or drips is not. Times are tenths of a
 * millisecond.
 */
public final class MinimumTransferRate {
  /** To begin with, at the least when waiting goes on after a pause, and at most. */
  private static final long FIRST = 20_000, LEAST = 10_000, MOST = 50_000;

  /** Bytes a second that hold the time left as it is; half of the slowest sender that is served. */
  private static final long RATE = 32_000;

  private static final long SECOND = 10_000;

  private long remaining;
  private long since;
  private boolean paused;

  public void start(long now) {
    remaining = FIRST;
    since = now;
    paused = false;
  }

  /** So many bytes have come. */
  public void received(long now, long bytes) {
    remaining = Math.min(MOST, remaining(now) + bytes * SECOND / RATE);
    since = now;
  }

  /** Nobody asks for bytes now: the sender is not to blame. */
  public void pause(long now) {
    remaining = remaining(now);
    paused = true;
  }

  public void resume(long now) {
    remaining = Math.max(LEAST, remaining(now));
    since = now;
    paused = false;
  }

  /** How long its next bytes may still take. */
  public long remaining(long now) {
    return paused ? remaining : Math.max(0, remaining - (now - since));
  }
}
