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
 * received while a step runs. Each task, timer and completion runs as one step; what a step defers
 * runs as a further step right after it, never nested in it. Times are ticks of a tenth of a
 * millisecond. Only {@link #execute}, {@link #channelGroup} and {@link #shutdown} may be called
 * from other threads.
 *
 * <p>An exception or error that a step throws ends that step only: it is logged and counted, and
 * the loop continues; whoever waits for the step is released by the timeout that bounds the wait.
 * An error outside of steps, in the JDK's code that runs them, ends the loop: which notifications
 * were lost with it is unknown.
 *
 * <p>A channel group with a thread of its own would fill receive buffers while a step examines
 * them, and would read requests from connections that a step is closing, so that these requests
 * would get no response.
 */
public final class EventLoop implements Executor {
  private static final Logger LOG = Logger.getLogger("wheattrack");

  /** Nanoseconds of a tick, the unit of the loop's clock: a tenth of a millisecond. */
  private static final long NANOS_PER_TICK = 100_000;

  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  /** How late, in ticks, the first timer must be for the process to count as having stalled. */
  private static final long STALL_THRESHOLD = 100;

  /** The longest time, in ticks, for which late timers wait for other steps after a stall. */
  private static final long MAX_CATCH_UP_TIME = 100;

  /**
   * A task that the loop's own thread queues runs in the round that begins as the third one after
   * it. A round is one run of {@link #runRound}, which runs the queued tasks.
   *
   * <p>The group asks the system for notifications before each round, and handles some of those
   * that it gets before the round and some after it. The notifications of the first round may have
   * been requested before the task was queued; those requested before the second round are all
   * handled when the third begins.
   */
  private static final int ROUNDS_UNTIL_TASK = 3;

  /**
   * A task that the loop's own thread has queued.
   *
   * @param round the number of the first round in which it may run
   */
  private record QueuedTask(long round, Runnable task) {}

  /**
   * The system property that sets the clock of this process ahead by a number of milliseconds,
   * which may be negative; for tests of clock skew.
   */
  private static final String CLOCK_SKEW_PROPERTY = "wheattrack.skew";

  private static final long CLOCK_SKEW_MILLIS =
      (long) Double.parseDouble(System.getProperty(CLOCK_SKEW_PROPERTY, "0"));

  /** Completions of channel operations that completed while the step that started them ran. */
  private final ArrayDeque<Runnable> immediateCompletions = new ArrayDeque<>();

  /** Steps that the current step has deferred, in order. */
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();

  /** Tasks queued by the loop's own thread, in order; each waits for its round. */
  private final ArrayDeque<QueuedTask> tasks = new ArrayDeque<>();

  /** Tasks queued by other threads, which run in the next round. */
  private final ConcurrentLinkedQueue<Runnable> submittedTasks = new ConcurrentLinkedQueue<>();

  /** Whether a round was posted to the group and has not begun. */
  private final AtomicBoolean isRoundPosted = new AtomicBoolean();

  /** The number of rounds that have begun. */
  private long round;

  private final TimerQueue timers = new TimerQueue();

  /**
   * The nanoseconds from 1970, by the possibly skewed clock, to the origin of {@link
   * System#nanoTime}.
   */
  private final long nanoTimeOffset =
      (System.currentTimeMillis() + CLOCK_SKEW_MILLIS) * NANOS_PER_MILLISECOND - System.nanoTime();

  private final CountDownLatch started = new CountDownLatch(1);
  private final AsynchronousChannelGroup channelGroup;

  /** The channel group, which is also an executor that runs actions on the group's thread. */
  private final Executor groupExecutor;

  private final Alarm alarm;
  private Thread thread;
  private long now; // ticks since 1970
  private boolean isInStep;

  /** The time in ticks until which timers wait after a stall; 0 if they do not wait. */
  private long catchUpEnd;

  private volatile boolean isStopped;

  /** Why the loop has ended without {@link #shutdown}, or null. */
  private volatile Throwable failure;

  /** The number of steps that have thrown an exception or error. */
  private long failedSteps;

  /**
   * Creates a loop that runs nothing until {@link #run} is called.
   *
   * @throws UncheckedIOException if the channel group cannot be opened
   */
  public EventLoop() {
    updateClock();
    try {
      channelGroup = AsynchronousChannelGroup.withFixedThreadPool(1, threadFactory());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    if (!(channelGroup instanceof Executor executor)) {
      throw new IllegalStateException("expected a group that is an Executor, got " + channelGroup);
    }
    groupExecutor = executor;
    // a step is followed by due timers
    alarm = new Alarm(() -> post(() -> runStep(() -> {})), this::fail);
  }

  /**
   * Creates the factory of the group's one thread, which runs nothing until {@link #run}. The group
   * asks for another thread when the first one has failed; it gets none, as the loop ends then.
   */
  private ThreadFactory threadFactory() {
    return work -> {
      if (thread != null) {
        return null;
      }
      thread = new Thread(() -> runGroup(work), "event-loop");
      thread.setDaemon(true);
      return thread;
    };
  }

  private void runGroup(Runnable work) {
    awaitStart();
    try {
      work.run();
    } catch (RuntimeException | Error e) {
      fail(e);
    }
  }

  /**
   * Ends the loop because of an error outside of its steps, unless it has ended before. Any thread
   * may call it.
   */
  private void fail(Throwable cause) {
    if (!isStopped) {
      failure = cause;
      shutdown();
    }
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
   * A handler that passes the outcome of a channel operation to one of the two consumers, which it
   * calls once per operation, in a step of its own.
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
   * Starts the loop and blocks the calling thread until the loop has been shut down. Interrupting
   * that thread shuts the loop down.
   *
   * @throws EventLoopFailedException if an error outside of steps has ended the loop
   */
  public void run() {
    alarm.start();
    started.countDown();
    try {
      thread.join();
    } catch (InterruptedException e) {
      shutdown();
    }
    if (failure != null) {
      throw new EventLoopFailedException(failure);
    }
  }

  /**
   * The number of steps that have thrown an exception or error. Runs on the event loop's thread
   * only.
   */
  public long failedSteps() {
    return failedSteps;
  }

  /**
   * Queues a task, to be run as a step of its own. Any thread may call it. A task that the loop's
   * own thread queues runs after everything that has arrived at the channels by now; a task of
   * another thread runs in the next round. After the shutdown the task is dropped.
   */
  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == thread) {
      tasks.add(new QueuedTask(round + ROUNDS_UNTIL_TASK, task));
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

  /**
   * Has the group's thread run the action after it has asked the system for notifications once
   * more.
   */
  private void post(Runnable action) {
    try {
      groupExecutor.execute(action);
    } catch (RejectedExecutionException e) {
      LOG.log(Level.FINE, "action dropped: the event loop has been shut down", e);
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
   * Shuts the loop down: no further step runs, and all channels are closed. Any thread may call it.
   */
  public void shutdown() {
    isStopped = true;
    alarm.stop();
    started.countDown();
    try {
      channelGroup.shutdownNow();
    } catch (IOException e) {
      LOG.log(Level.WARNING, "closing the channels of the event loop failed", e);
    }
  }

  /**
   * Runs a step, then the completions and deferred steps that follow from it, then the timers that
   * are due. If a step is running already, the new one is a completion that runs after it.
   */
  private void runStep(Runnable step) {
    if (isInStep) {
      immediateCompletions.add(step);
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
   * Whether timers must wait because this process was stalled (suspended, or without CPU time),
   * which is detected by a very late timer. What arrived during the stall is handled first, for a
   * limited time: otherwise responses that are already in the sockets' buffers would count as timed
   * out, and their backends as unresponsive.
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

  /** Runs a task and all completions and deferred steps that follow from it. */
  private void perform(Runnable task) {
    for (Runnable step = task; step != null && !isStopped; step = nextStep()) {
      updateClock();
      try {
        step.run();
      } catch (RuntimeException | Error e) { // one failed step must not end the loop
        onStepFailed(e);
      }
    }
  }

  private void onStepFailed(Throwable cause) {
    failedSteps++;
    try {
      LOG.log(Level.SEVERE, "a step failed", cause);
    } catch (RuntimeException | Error e) {
      // without memory for a log line, the failure is only counted
    }
  }

  private Runnable nextStep() {
    Runnable completion = immediateCompletions.poll();
    return completion != null ? completion : deferred.poll();
  }
}
