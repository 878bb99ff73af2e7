package wheattrack.aio;

import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import wheattrack.core.TimerQueue;

/**
 * The one thread that runs completion handlers, deadlines and the module, and its clock. The
 * channel group hands its handlers over as tasks; what a step leaves for later runs as a step of
 * its own, never nested.
 */
public final class EventLoop extends AbstractExecutorService {
  private static final Logger LOG = Logger.getLogger("wheattrack");
  private static final long NANOS = 100_000; // in the project's unit of time
  private static final long LATE = 100, HEAR = 10, LONGEST = 10_000;

  /** For trials of clocks that disagree: milliseconds by which this process's clock is off. */
  private static final long SKEW =
      (long) Double.parseDouble(System.getProperty("wheattrack.skew", "0"));

  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private final TimerQueue timers = new TimerQueue();
  private final long offset = (System.currentTimeMillis() + SKEW) * 1_000_000 - System.nanoTime();
  private long now;
  private volatile boolean stopped;

  public EventLoop() {
    tick();
  }

  /** Tenths of a millisecond since 1970, rounded up; stands still within a step. */
  public long now() {
    return now;
  }

  private void tick() {
    now = Math.max(now, Math.floorDiv(System.nanoTime() + offset + NANOS - 1, NANOS));
  }

  /** Runs then after so long, unless it is cancelled; on the loop's thread only. */
  public TimerQueue.Timer schedule(long delay, Runnable then) {
    return timers.add(now + Math.max(0, delay), then);
  }

  public void cancel(TimerQueue.Timer entry) {
    timers.cancel(entry);
  }

  /** To be run on the loop's thread after the present step; called on that thread only. */
  public void defer(Runnable then) {
    deferred.add(then);
  }

  /** Hands what becomes of a channel's operation over as a step. */
  public <R> CompletionHandler<R, Void> handler(Consumer<R> then, Consumer<Throwable> failed) {
    return new CompletionHandler<>() {
      @Override
      public void completed(R result, Void none) {
        defer(() -> then.accept(result));
      }

      @Override
      public void failed(Throwable why, Void none) {
        defer(() -> failed.accept(why));
      }
    };
  }

  /** Runs until stopped. */
  public void run() {
    while (!stopped) {
      tick();
      if (now - timers.nextDeadline() > LATE) {
        catchUp();
      }
      for (Runnable due = timers.pollDue(now); due != null; due = timers.pollDue(now)) {
        perform(due);
      }
      Runnable task = pause(timers.nextDeadline() - now);
      if (task != null) {
        perform(task);
      }
    }
  }

  /**
   * Deadlines long past: this process stood still, and what came meanwhile is heard first. Else
   * answers that lie in the sockets would be held for time-outs, and their srvs for silent.
   */
  private void catchUp() {
    Runnable task = this::tick;
    for (long until = now + LATE; task != null; task = now < until ? pause(HEAR) : null) {
      perform(task);
    }
  }

  private Runnable pause(long time) {
    try {
      return inbox.poll(Math.min(LONGEST, Math.max(0, time)) * NANOS, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      stopped = true;
      return null;
    }
  }

  private void perform(Runnable task) {
    for (Runnable step = task; step != null; step = deferred.poll()) {
      tick();
      try {
        step.run();
      } catch (RuntimeException | Error e) { // one req's failure is not the next one's
        LOG.log(Level.SEVERE, "a step failed", e);
      }
    }
  }

  @Override
  public void execute(Runnable task) {
    inbox.add(task);
  }

  @Override
  public void shutdown() {
    stopped = true;
    inbox.add(() -> {});
  }

  @Override
  public List<Runnable> shutdownNow() {
    shutdown();
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return stopped;
  }

  @Override
  public boolean isTerminated() {
    return stopped;
  }

  @Override
  public boolean awaitTermination(long time, TimeUnit unit) {
    return stopped;
  }
}
