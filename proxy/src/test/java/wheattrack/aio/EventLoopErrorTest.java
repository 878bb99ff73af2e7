package wheattrack.aio;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What an {@link Error} does in a step of the event loop, and outside of its steps. */
@Timeout(10)
class EventLoopErrorTest {
  private static final long WAIT_SECONDS = 5;

  private final EventLoop loop = new EventLoop();

  /** What {@link EventLoop#run} has thrown; null once it has returned. */
  private final CompletableFuture<Throwable> end = new CompletableFuture<>();

  private void startLoop() {
    Logger.getLogger("wheattrack").setLevel(Level.OFF);
    Thread thread =
        new Thread(
            () -> {
              try {
                loop.run();
                end.complete(null);
              } catch (RuntimeException e) {
                end.complete(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void restoreLog() {
    Logger.getLogger("wheattrack").setLevel(Level.SEVERE);
    loop.shutdown();
  }

  private static void exhaustMemory() {
    throw new OutOfMemoryError("thrown by the test");
  }

  private long failedSteps() throws Exception {
    CompletableFuture<Long> count = new CompletableFuture<>();
    loop.execute(() -> count.complete(loop.failedSteps()));
    return count.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  // Guards against a loop that ends with a step, and with it all requests in flight.
  @Test
  void errorInAStepEndsThatStepOnly() throws Exception {
    startLoop();
    loop.execute(EventLoopErrorTest::exhaustMemory);
    loop.execute(() -> loop.schedule(1, EventLoopErrorTest::exhaustMemory));
    Thread.sleep(50);
    assertEquals(2, failedSteps());
    loop.shutdown();
    assertNull(end.get(WAIT_SECONDS, TimeUnit.SECONDS));
  }

  // Guards against a process that ends as after a graceful shutdown when its loop has failed.
  @Test
  void errorOutsideOfStepsEndsTheLoopAsFailed() throws Exception {
    startLoop();
    assertEquals(0, failedSteps());
    ((Executor) loop.channelGroup()).execute(EventLoopErrorTest::exhaustMemory);
    Throwable failure = end.get(WAIT_SECONDS, TimeUnit.SECONDS);
    assertInstanceOf(EventLoopFailedException.class, failure);
    assertInstanceOf(OutOfMemoryError.class, failure.getCause());
  }

  // Guards against a loop whose timers never run again.
  @Test
  void errorOfTheAlarmEndsTheLoopAsFailed() throws Exception {
    Alarm alarm = new Alarm(EventLoopErrorTest::exhaustMemory, end::complete);
    alarm.start();
    alarm.setTime(System.nanoTime());
    assertInstanceOf(OutOfMemoryError.class, end.get(WAIT_SECONDS, TimeUnit.SECONDS));
  }
}
