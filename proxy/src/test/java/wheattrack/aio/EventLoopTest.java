package wheattrack.aio;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class EventLoopTest {
  private final StringBuilder trace = new StringBuilder();

  private int heard;

  private void dawdle() {
    heard++;
    long until = System.nanoTime() + 100_000;
    while (System.nanoTime() < until) {
      Thread.onSpinWait();
    }
  }

  private void say(String line) {
    trace.append(line).append('\n');
  }

  /**
   * A process that stood still hears what came meanwhile before it holds anything for timed out.
   */
  @Test
  void standstill() throws Exception {
    EventLoop loop = new EventLoop();
    loop.execute(
        () -> {
          loop.schedule(300, () -> say("deadline of 30 ms, not all heard: " + (heard < 200)));
          loop.schedule(
              5000,
              () -> {
                say("deadline of 500 ms, heard " + heard);
                loop.shutdown();
              });
          loop.defer(() -> say("step left behind, before any task"));
          loop.execute(
              () -> {
                say("stands still for 100 ms");
                try {
                  Thread.sleep(100);
                } catch (InterruptedException e) {
                  say("interrupted");
                }
                loop.execute(() -> say("an answer that came meanwhile"));
                for (int i = 0; i < 200; i++) { // none is lost where hearing them takes long
                  loop.execute(this::dawdle);
                }
                throw new IllegalStateException("and fails");
              });
        });
    java.util.logging.Logger.getLogger("wheattrack").setLevel(java.util.logging.Level.OFF);
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
