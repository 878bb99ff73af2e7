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
 * The single thread that runs completion handlers, timers and the load-balancing policy, and its
 * clock.
 *
 * <p>It is the executor of the asynchronous channel group, which hands its completion handlers over
 * as tasks. A task or timer is one step; what a step defers runs as a further step right after it,
 * never nested in it. Times are tenths of a millisecond. Only {@link #execute} and the shutdown
 * methods may be called from other threads.
 */
public final class EventLoop extends AbstractExecutorService {
  private static final Logger LOG = Logger.getLogger("wheattrack");
  private static final long NANOS_PER_UNIT = 100_000;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  /** How late the first timer must be for the process to count as having stood still. */
  private static final long STANDSTILL_THRESHOLD = 100;

  /** The longest time for which tasks go before late timers after a standstill. */
  private static final long MAX_CATCH_UP_TIME = 100;

  /** How long a further task is waited for after a standstill. */
  private static final long CATCH_UP_POLL_TIMEOUT = 10;

  /** The longest wait for a task. */
  private static final long MAX_POLL_TIMEOUT = 10_000;

  /** Milliseconds by which this process's clock is wrong, for trials of clocks that disagree. */
  private static final long CLOCK_SKEW =
      (long) Double.parseDouble(System.getProperty("wheattrack.skew", "0"));

  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private final TimerQueue timers = new TimerQueue();

  /** What added to {@link System#nanoTime} gives the nanoseconds since 1970. */
  private final long nanoTimeOffset =
      (System.currentTimeMillis() + CLOCK_SKEW) * NANOS_PER_MILLISECOND - System.nanoTime();

  private long now;
  private volatile boolean isStopped;

  /** Creates a loop whose clock shows the current time; it runs nothing until {@link #run}. */
  public EventLoop() {
    updateClock();
  }

  /** The time of the current step in tenths of a millisecond since 1970, rounded up. */
  public long now() {
    return now;
  }

  private void updateClock() {
    long nanos = System.nanoTime() + nanoTimeOffset;
    now = Math.max(now, Math.floorDiv(nanos + NANOS_PER_UNIT - 1, NANOS_PER_UNIT));
  }

  /**
   * Runs the task after this delay, unless it is cancelled; a negative delay counts as 0. Runs on
   * the event loop's thread only.
   */
  public TimerQueue.Timer schedule(long delay, Runnable task) {
    return timers.add(now + Math.max(0, delay), task);
  }

  /**
   * Cancels a timer; does nothing if it is null, has run or was cancelled before. Runs on the event
   * loop's thread only.
   */
  public void cancel(TimerQueue.Timer timer) {
    timers.cancel(timer);
  }

  /**
   * Runs the task as a step of its own after the current step, before any timer or other task. Runs
   * on the event loop's thread only.
   */
  public void defer(Runnable task) {
    deferred.add(task);
  }

  /**
   * A handler that passes the outcome of a channel's operation on in a step of its own. One of the
   * two consumers is called, once per operation.
   */
  public <R> CompletionHandler<R, Void> handler(
      Consumer<R> onCompleted, Consumer<Throwable> onFailed) {
    return new CompletionHandler<>() {
      @Override
      public void completed(R result, Void attachment) {
        defer(() -> onCompleted.accept(result));
      }

      @Override
      public void failed(Throwable cause, Void attachment) {
        defer(() -> onFailed.accept(cause));
      }
    };
  }

  /** Runs tasks and timers on the calling thread until the loop is shut down or interrupted. */
  public void run() {
    while (!isStopped) {
      updateClock();
      if (now - timers.nextDeadline() > STANDSTILL_THRESHOLD) {
        catchUp();
      }
      for (Runnable task = timers.pollDue(now); task != null; task = timers.pollDue(now)) {
        perform(task);
      }
      Runnable task = pollTask(timers.nextDeadline() - now);
      if (task != null) {
        perform(task);
      }
    }
  }

  /**
   * Runs tasks before the timers, for a short time. When timers are very late, this process stood
   * still (it was paused or got no CPU), and what arrived meanwhile must be handled first:
   * otherwise answers that already lie in the sockets would count as timed out, and their backends
   * as silent.
   */
  private void catchUp() {
    long end = now + MAX_CATCH_UP_TIME;
    perform(this::updateClock);
    while (now < end) {
      Runnable task = pollTask(CATCH_UP_POLL_TIMEOUT);
      if (task == null) {
        return;
      }
      perform(task);
    }
  }

  /** The next task, waited for at most so long, or null. */
  private Runnable pollTask(long timeout) {
    long boundedTimeout = Math.min(MAX_POLL_TIMEOUT, Math.max(0, timeout));
    try {
      return tasks.poll(boundedTimeout * NANOS_PER_UNIT, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      isStopped = true;
      return null;
    }
  }

  private void perform(Runnable task) {
    for (Runnable step = task; step != null; step = deferred.poll()) {
      updateClock();
      try {
        step.run();
      } catch (RuntimeException | Error e) { // the failure of one request must not end the others
        LOG.log(Level.SEVERE, "a step failed", e);
      }
    }
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
  }

  /**
   * Makes {@link #run} return soon; timers that are due may still run, other timers and tasks that
   * wait do not.
   */
  @Override
  public void shutdown() {
    isStopped = true;
    tasks.add(() -> {}); // wakes the loop
  }

  @Override
  public List<Runnable> shutdownNow() {
    shutdown();
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return isStopped;
  }

  @Override
  public boolean isTerminated() {
    return isStopped;
  }

  /** Does not wait: returns whether the loop was told to stop. */
  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return isStopped;
  }
}
