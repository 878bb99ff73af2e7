package wheattrack.aio;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** The order of steps on the event loop. */
class EventLoopTest {
  private static final int SLOW_TASKS = 200;
  private static final long SLOW_TASK_NANOS = 100_000;
  private static final long STALL_MILLIS = 100;

  /** A delay in ticks that ends during the stall. */
  private static final long SHORT_DELAY = 300;

  /** A delay in ticks that ends after the stall and all slow tasks. */
  private static final long LONG_DELAY = 5000;

  private final StringBuilder trace = new StringBuilder();
  private final EventLoop loop = new EventLoop();
  private int slowTasksRun;

  private void record(String line) {
    trace.append(line).append('\n');
  }

  private void runSlowTask() {
    slowTasksRun++;
    long end = System.nanoTime() + SLOW_TASK_NANOS;
    while (System.nanoTime() < end) {
      Thread.onSpinWait();
    }
  }

  /**
   * Blocks the loop until a timer is late, then queues tasks and fails, which must not end the
   * loop.
   */
  private void stallThenFail() {
    record("stalls for " + STALL_MILLIS + " ms");
    try {
      Thread.sleep(STALL_MILLIS);
    } catch (InterruptedException e) {
      record("interrupted");
    }
    loop.execute(() -> record("response that arrived during the stall"));
    for (int i = 0; i < SLOW_TASKS; i++) { // together they take longer than timers may wait
      loop.execute(this::runSlowTask);
    }
    throw new IllegalStateException("a failed step must not end the loop");
  }

  private void scheduleSteps() {
    loop.schedule(
        SHORT_DELAY,
        () -> record("timer at 30 ms, before the last tasks: " + (slowTasksRun < SLOW_TASKS)));
    loop.schedule(
        LONG_DELAY,
        () -> {
          record("timer at 500 ms, tasks run: " + slowTasksRun);
          loop.shutdown();
        });
    loop.defer(() -> record("deferred step, before any task"));
    loop.execute(this::stallThenFail);
  }

  /** After a stall, late timers wait for queued tasks, but only for a limited time. */
  @Test
  void runsTasksBeforeLateTimersAfterStall() {
    loop.execute(this::scheduleSteps);
    Logger.getLogger("wheattrack").setLevel(Level.OFF);
    loop.run();
    assertEquals(
        """
        deferred step, before any task
        stalls for 100 ms
        response that arrived during the stall
        timer at 30 ms, before the last tasks: true
        timer at 500 ms, tasks run: 200
        """,
        trace.toString());
  }
}
