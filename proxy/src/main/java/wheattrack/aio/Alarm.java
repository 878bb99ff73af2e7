package wheattrack.aio;

import java.util.concurrent.locks.LockSupport;

/**
 * A thread that wakes the event loop when its next timer is due. All methods may be called from any
 * thread; times are those of {@link System#nanoTime}.
 */
final class Alarm {
  private static final long NEVER = Long.MAX_VALUE;

  private final Runnable onTime;
  private final Thread thread = new Thread(this::run, "event-loop-alarm");

  /** When to ring; {@link #NEVER} once it has rung, until a time is set again. */
  private volatile long time = NEVER;

  /** Until when the thread sleeps, or an earlier time. */
  private volatile long sleepEnd = NEVER;

  private volatile boolean isStopped;

  /**
   * Makes an alarm that has no time set.
   *
   * @param onTime run on the alarm's own thread each time that it rings
   */
  Alarm(Runnable onTime) {
    this.onTime = onTime;
    thread.setDaemon(true);
  }

  /** Starts the thread. */
  void start() {
    thread.start();
  }

  /** Rings at this time, once, in place of the time that was set before. */
  void setTime(long nanoTime) {
    time = nanoTime;
    if (sleepEnd == NEVER || nanoTime - sleepEnd < 0) {
      LockSupport.unpark(thread);
    }
  }

  /** Ends the thread. */
  void stop() {
    isStopped = true;
    LockSupport.unpark(thread);
  }

  private void run() {
    while (!isStopped) {
      long next = time;
      sleepEnd = next;
      if (next != time) {
        continue; // another time was set, perhaps before the end of this sleep was to be seen
      }
      if (next == NEVER) {
        LockSupport.park(this);
        continue;
      }
      long wait = next - System.nanoTime();
      if (wait > 0) {
        LockSupport.parkNanos(this, wait);
      } else {
        ring(next);
      }
    }
  }

  private void ring(long rungFor) {
    if (time == rungFor) {
      time = NEVER; // a time that is set between these two lines is set again by the next step
    }
    onTime.run();
  }
}
