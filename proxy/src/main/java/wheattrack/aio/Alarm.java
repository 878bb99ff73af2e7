package wheattrack.aio;

import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * A thread that wakes the event loop when its next timer is due. All methods may be called from any
 * thread; times are those of {@link System#nanoTime}.
 */
final class Alarm {
  private static final long NEVER = Long.MAX_VALUE;

  private final Runnable callback;
  private final Consumer<Throwable> onFailed;
  private final Thread thread = new Thread(this::run, "event-loop-alarm");

  /** When the callback is due; {@link #NEVER} while no time is set. */
  private volatile long dueTime = NEVER;

  /** The time until which the thread sleeps, or an earlier one; {@link #NEVER} without a limit. */
  private volatile long sleepEnd = NEVER;

  private volatile boolean isStopped;

  /**
   * Creates an alarm that has no time set.
   *
   * @param callback run on the alarm's own thread each time that a set time is reached
   * @param onFailed called on that thread if an exception or error has ended the alarm
   */
  Alarm(Runnable callback, Consumer<Throwable> onFailed) {
    this.callback = callback;
    this.onFailed = onFailed;
    thread.setDaemon(true);
  }

  /** Starts the thread. */
  void start() {
    thread.start();
  }

  /** Runs the callback once at this time, which replaces the time that was set before. */
  void setTime(long nanoTime) {
    dueTime = nanoTime;
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
    try {
      runUntilStopped();
    } catch (RuntimeException | Error e) {
      onFailed.accept(e);
    }
  }

  private void runUntilStopped() {
    while (!isStopped) {
      long next = dueTime;
      sleepEnd = next;
      if (next != dueTime) {
        continue; // setTime ran at the same time and may have compared with the old sleepEnd
      }
      if (next == NEVER) {
        LockSupport.park(this);
        continue;
      }
      long wait = next - System.nanoTime();
      if (wait > 0) {
        LockSupport.parkNanos(this, wait);
      } else {
        fire(next);
      }
    }
  }

  private void fire(long reachedTime) {
    if (dueTime == reachedTime) {
      // A time that another thread sets between the check and this assignment is lost; the event
      // loop sets it again after the step that the callback posts.
      dueTime = NEVER;
    }
    callback.run();
  }
}
