package wheattrack.aio;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import wheattrack.core.TimerQueue;

/**
 * The single thread that does all input and output and runs completion handlers, timers and the
 * load-balancing policy, and its clock.
 *
 * <p>It is the one thread of an asynchronous channel group: the thread that waits for the system's
 * notifications also reads and writes the sockets and runs the handlers, so that no byte is
 * received while a step runs. A task, timer or completion is one step; what a step defers runs as a
 * further step right after it, never nested in it. Times are ticks of a tenth of a millisecond.
 * Only {@link #execute}, {@link #channelGroup} and {@link #shutdown} may be called from other
 * threads.
 *
 * <p>Incident: with a channel group that had a thread of its own, that thread filled buffers that
 * this one was looking at, and read requests from connections that this one was closing.
 */
public final class EventLoop implements Executor {
  private static final Logger LOG = Logger.getLogger("wheattrack");

  /** Nanoseconds of a tick, the unit of the loop's clock: a tenth of a millisecond. */
  private static final long NANOS_PER_TICK = 100_000;

  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  /** How late the first timer must be for the process to count as having been stalled; in ticks. */
  private static final long STALL_THRESHOLD = 100;

  /** The longest time for which other steps run before late timers after a stall; in ticks. */
  private static final long MAX_CATCH_UP_TIME = 100;

  /**
   * How many rounds of tasks begin before a task runs. The group asks the system for notifications
   * before each round, and handles some of those that it gets before the round and some after it.
   * The first round may belong to notifications that were asked for before the task was queued;
   * those asked for before the second are all handled when the third begins.
   */
  private static final int ROUNDS_BEFORE_TASK = 3;

  /**
   * A task that waits.
   *
   * @param round the round in which it may run
   */
  private record QueuedTask(long round, Runnable task) {}

  /** Sets the clock of this process wrong by a number of milliseconds, for tests of clock skew. */
  private static final String CLOCK_SKEW_PROPERTY = "wheattrack.skew";

  private static final long CLOCK_SKEW_MILLIS =
      (long) Double.parseDouble(System.getProperty(CLOCK_SKEW_PROPERTY, "0"));

  /** Completions of operations that completed at once, when they were started within a step. */
  private final ArrayDeque<Runnable> completedAtOnce = new ArrayDeque<>();

  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();

  /** Tasks of the loop's own thread that wait for their round, in order. */
  private final ArrayDeque<QueuedTask> tasks = new ArrayDeque<>();

  /** Tasks of other threads, which run in the next round. */
  private final ConcurrentLinkedQueue<Runnable> submittedTasks = new ConcurrentLinkedQueue<>();

  /** Whether the group has been asked for a round that has not begun. */
  private final AtomicBoolean isRoundPosted = new AtomicBoolean();

  /** The number of rounds that have begun. */
  private long round;

  private final TimerQueue timers = new TimerQueue();

  /** The nanoseconds between 1970 and the origin of {@link System#nanoTime}. */
  private final long nanoTimeOffset =
      (System.currentTimeMillis() + CLOCK_SKEW_MILLIS) * NANOS_PER_MILLISECOND - System.nanoTime();

  private final CountDownLatch started = new CountDownLatch(1);
  private final AsynchronousChannelGroup channelGroup;

  /** The channel group as the executor that it is; see {@link #execute}. */
  private final Executor groupExecutor;

  private final Alarm alarm;
  private Thread thread;
  private long now; // ticks since 1970
  private boolean isInStep;

  /** While it catches up after a stall: until when timers wait; otherwise 0. In ticks. */
  private long catchUpEnd;

  private volatile boolean isStopped;

  /**
   * Creates a loop whose clock shows the current time; it runs nothing until {@link #run}.
   *
   * @throws UncheckedIOException if the system grants no channel group
   */
  public EventLoop() {
    updateClock();
    try {
      channelGroup = AsynchronousChannelGroup.withFixedThreadPool(1, threadFactory());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    if (!(channelGroup instanceof Executor executor)) {
      throw new IllegalStateException("this JDK's channel groups run no tasks: " + channelGroup);
    }
    groupExecutor = executor;
    alarm = new Alarm(() -> post(() -> runStep(() -> {}))); // a step is followed by due timers
  }

  /** Makes the one thread of the group, which waits for {@link #run}. */
  private ThreadFactory threadFactory() {
    return work -> {
      thread =
          new Thread(
              () -> {
                awaitStart();
                work.run();
              },
              "event-loop");
      thread.setDaemon(true);
      return thread;
    };
  }

  private void awaitStart() {
    try {
      started.await();
    } catch (InterruptedException e) {
      isStopped = true;
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
        runStep(() -> onCompleted.accept(result));
      }

      @Override
      public void failed(Throwable cause, Void attachment) {
        runStep(() -> onFailed.accept(cause));
      }
    };
  }

  /**
   * Lets the loop run until it is shut down, and returns when it has ended; the calling thread only
   * waits. Interrupting that thread shuts the loop down.
   */
  public void run() {
    alarm.start();
    started.countDown();
    try {
      thread.join();
    } catch (InterruptedException e) {
      shutdown();
    }
  }

  /**
   * Queues a task, to be run as a step of its own. Any thread may call it. A task that the loop's
   * own thread queues runs after everything that has arrived at the channels by now; one of another
   * thread runs soon. After the shutdown the task is dropped.
   */
  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == thread) {
      tasks.add(new QueuedTask(round + ROUNDS_BEFORE_TASK, task));
    } else {
      submittedTasks.add(task);
    }
    postRound();
  }

  private void postRound() {
    if (isRoundPosted.compareAndSet(false, true)) {
      post(this::runRound);
    }
  }

  /** Has the group run the action, after it has asked the system for notifications once more. */
  private void post(Runnable action) {
    try {
      groupExecutor.execute(action);
    } catch (RejectedExecutionException e) {
      LOG.log(Level.FINE, "not run, as the loop has ended", e);
    }
  }

  private void runRound() {
    isRoundPosted.set(false);
    round++;
    for (Runnable task = submittedTasks.poll(); task != null; task = submittedTasks.poll()) {
      runStep(task);
    }
    QueuedTask next = tasks.peek();
    while (next != null && next.round <= round) {
      tasks.remove();
      runStep(next.task);
      next = tasks.peek();
    }
    if (next != null) {
      postRound();
    }
  }

  /**
   * Ends the loop: the current step is the last one, and all channels are closed. Any thread may
   * call it.
   */
  public void shutdown() {
    isStopped = true;
    alarm.stop();
    started.countDown();
    try {
      channelGroup.shutdownNow();
    } catch (IOException e) {
      LOG.log(Level.WARNING, "channels are not closed", e);
    }
  }

  /**
   * Runs a step, the completions of what it began and what it deferred, then the timers that are
   * due.
   */
  private void runStep(Runnable step) {
    if (isInStep) {
      completedAtOnce.add(step);
      return;
    }
    isInStep = true;
    perform(step);
    runDueTimers();
    isInStep = false;
  }

  private void runDueTimers() {
    updateClock();
    if (mustCatchUp()) {
      return;
    }
    for (Runnable task = timers.pollDue(now); task != null; task = timers.pollDue(now)) {
      perform(task);
    }
    if (!isStopped && timers.nextDeadline() != Long.MAX_VALUE) {
      alarm.setTime(timers.nextDeadline() * NANOS_PER_TICK - nanoTimeOffset);
    }
  }

  /**
   * Whether timers must wait because this process was stalled (suspended, or without CPU time), as
   * very late timers show. What arrived in the meantime must be handled first, for a short time:
   * otherwise responses that are already in the sockets' buffers would count as timed out, and
   * their backends as unresponsive.
   */
  private boolean mustCatchUp() {
    if (catchUpEnd == 0 && now - timers.nextDeadline() > STALL_THRESHOLD) {
      catchUpEnd = now + MAX_CATCH_UP_TIME;
      execute(() -> catchUpEnd = now); // runs when all that has arrived by now is handled
    }
    if (now < catchUpEnd) {
      return true;
    }
    catchUpEnd = 0;
    return false;
  }

  private void perform(Runnable task) {
    for (Runnable step = task; step != null && !isStopped; step = nextStep()) {
      updateClock();
      try {
        step.run();
      } catch (RuntimeException | Error e) { // the failure of one request must not end the others
        LOG.log(Level.SEVERE, "a step failed", e);
      }
    }
  }

  private Runnable nextStep() {
    Runnable completion = completedAtOnce.poll();
    return completion != null ? completion : deferred.poll();
  }
}
