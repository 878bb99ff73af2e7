package wheattrack.aio;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.AsynchronousChannelGroup;
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
 * never nested in it. Times are ticks of a tenth of a millisecond. Only {@link #execute} and the
 * shutdown methods may be called from other threads.
 */
public final class EventLoop extends AbstractExecutorService {
  private static final Logger LOG = Logger.getLogger("wheattrack");

  /** Nanoseconds of a tick, the unit of the loop's clock: a tenth of a millisecond. */
  private static final long NANOS_PER_TICK = 100_000;

  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  /** How late the first timer must be for the process to count as having been stalled; in ticks. */
  private static final long STALL_THRESHOLD = 100;

  /** The longest time for which tasks run before late timers after a stall; in ticks. */
  private static final long MAX_CATCH_UP_TIME = 100;

  /** The longest wait for a further task after a stall; in ticks. */
  private static final long CATCH_UP_POLL_TIMEOUT = 10;

  /** The longest wait for a task; in ticks. */
  private static final long MAX_POLL_TIMEOUT = 10_000;

  /** Sets the clock of this process wrong by a number of milliseconds, for tests of clock skew. */
  private static final String CLOCK_SKEW_PROPERTY = "wheattrack.skew";

  private static final long CLOCK_SKEW_MILLIS =
      (long) Double.parseDouble(System.getProperty(CLOCK_SKEW_PROPERTY, "0"));

  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private final TimerQueue timers = new TimerQueue();

  /** The nanoseconds between 1970 and the origin of {@link System#nanoTime}. */
  private final long nanoTimeOffset =
      (System.currentTimeMillis() + CLOCK_SKEW_MILLIS) * NANOS_PER_MILLISECOND - System.nanoTime();

  private long now; // ticks since 1970
  private volatile boolean isStopped;

  private final AsynchronousChannelGroup channelGroup;

  /**
   * Creates a loop whose clock shows the current time; it runs nothing until {@link #run}.
   *
   * @throws UncheckedIOException if the system grants no channel group
   */
  public EventLoop() {
    updateClock();
    try {
      channelGroup = AsynchronousChannelGroup.withThreadPool(this);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The group of all channels whose operations complete on this loop. Any thread may call it. */
  public AsynchronousChannelGroup channelGroup() {
    return channelGroup;
  }

  /**
   * The time of the current step in ticks of a tenth of a millisecond since 1970, rounded up. Runs
   * on the event loop's thread only.
   */
  public long now() {
    return now;
  }

  private void updateClock() {
    long nanos = System.nanoTime() + nanoTimeOffset;
    now = Math.max(now, Math.floorDiv(nanos + NANOS_PER_TICK - 1, NANOS_PER_TICK));
  }

  /**
   * Runs the task after a delay, unless it is cancelled. Runs on the event loop's thread only.
   *
   * @param delay the delay in ticks; a negative one counts as 0
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
   * A handler that passes on the outcome of a channel's operation in a step of its own. One of the
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
      if (now - timers.nextDeadline() > STALL_THRESHOLD) {
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
   * Runs tasks before the timers, for a short time. When timers are very late, this process was
   * stalled (suspended, or without CPU time), and what arrived in the meantime must be handled
   * first: otherwise responses that are already in the sockets' buffers would count as timed out,
   * and their backends as unresponsive.
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

  /** The next task, or null if there is none within the timeout, which is in ticks. */
  private Runnable pollTask(long timeout) {
    long boundedTimeout = Math.min(MAX_POLL_TIMEOUT, Math.max(0, timeout));
    try {
      return tasks.poll(boundedTimeout * NANOS_PER_TICK, TimeUnit.NANOSECONDS);
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

  /** Queues a task, to be run as a step of its own. Any thread may call it. */
  @Override
  public void execute(Runnable task) {
    tasks.add(task);
  }

  /**
   * Makes {@link #run} return soon; timers that are due may still run, other timers and queued
   * tasks do not. Any thread may call it.
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

  /** Does not wait: returns whether the loop was shut down. */
  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return isStopped;
  }
}
