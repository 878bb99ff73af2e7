package wheattrack.core;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.testing.TraceRecorder;

/** The order of timers, and their cancellation. */
class TimerQueueTest {
  @Test
  void runsTimersInOrderOfDeadlineThenOfAddition() throws IOException {
    TraceRecorder recorder = new TraceRecorder();
    TimerQueue queue = new TimerQueue();
    List<TimerQueue.Timer> timers = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      int deadline = i * 37 % 50;
      String name = deadline + "." + i;
      timers.add(queue.add(deadline, () -> recorder.recordLine(name)));
    }
    for (int i = 0; i < 200; i++) {
      if (i % 9 != 0) {
        queue.cancel(timers.get(i));
        queue.cancel(timers.get(i));
      }
    }
    queue.cancel(null);
    for (int now = 0; queue.size() > 0; now += 10) {
      recorder.recordLine("by " + now + ", first " + queue.nextDeadline());
      for (Runnable task = queue.pollDue(now); task != null; task = queue.pollDue(now)) {
        task.run();
      }
    }
    recorder.assertMatches("deadlines");
  }
}
