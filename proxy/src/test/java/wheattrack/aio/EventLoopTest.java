package wheattrack.aio;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** The order of steps on the event loop. */
class EventLoopTest {
  private static final int SLOW_TASKS = 200;

  private final StringBuilder trace = new StringBuilder();
  private final EventLoop loop = new EventLoop();
  private int slowTasksRun;

  private void record(String line) {
    trace.append(line).append('\n');
  }

  private void runSlowTask() {
    slowTasksRun++;
    long end = System.nanoTime() + 100_000;
    while (System.nanoTime() < end) {
      Thread.onSpinWait();
    }
  }

  private void standStill() {
    record("stands still for 100 ms");
    try {
      Thread.sleep(100);
    } catch (InterruptedException e) {
      record("interrupted");
    }
    loop.execute(() -> record("an answer that came meanwhile"));
    for (int i = 0; i < SLOW_TASKS; i++) { // none is lost where running them takes long
      loop.execute(this::runSlowTask);
    }
    throw new IllegalStateException("and fails");
  }

  private void start() {
    loop.schedule(
        300, () -> record("deadline of 30 ms, not all heard: " + (slowTasksRun < SLOW_TASKS)));
    loop.schedule(
        5000,
        () -> {
          record("deadline of 500 ms, heard " + slowTasksRun);
          loop.shutdown();
        });
    loop.defer(() -> record("step left behind, before any task"));
    loop.execute(this::standStill);
  }

  /** After a standstill, what arrived meanwhile is handled before anything is timed out. */
  @Test
  void runsTasksBeforeLateTimersAfterStandstill() {
    loop.execute(this::start);
    Logger.getLogger("wheattrack").setLevel(Level.OFF);
    loop.run();
    assertEquals(
        """
        step left behind, before any task
        stands still for 100 ms
        an answer that came meanwhile
        deadline of 30 ms, not all heard: true
        deadline of 500 ms, heard 200
        """,
        trace.toString());
  }
}
