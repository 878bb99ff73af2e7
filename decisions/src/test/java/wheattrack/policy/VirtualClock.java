package wheattrack.policy;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A clock that only moves when a test advances it, and the timers that run by it. */
final class VirtualClock {
  /** A second, in tenths of a millisecond. */
  static final long SECOND = 10_000;

  /** The time at which the clock starts, in tenths of a millisecond. */
  static final long START = 100 * SECOND;

  private record Timer(long time, long sequence, Runnable task) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::time).thenComparingLong(Timer::sequence));
  private long now = START;
  private long timerCount;

  /** The current time, in tenths of a millisecond. */
  long now() {
    return now;
  }

  /**
   * Runs a task after a delay of at least one tick; tasks due at the same time run in the order in
   * which they were scheduled.
   */
  void schedule(long delay, Runnable task) {
    timers.add(new Timer(now + Math.max(1, delay), timerCount++, task));
  }

  /** Advances the clock and runs the timers that are due. */
  void advance(long duration) {
    advance(duration, () -> false);
  }

  /** Advances the clock and runs the timers that are due until the condition is met. */
  void advance(long duration, BooleanSupplier isStopped) {
    long end = now + duration;
    while (!timers.isEmpty() && timers.peek().time <= end && !isStopped.getAsBoolean()) {
      Timer timer = timers.poll();
      now = timer.time;
      timer.task.run();
    }
    now = end;
  }
}
