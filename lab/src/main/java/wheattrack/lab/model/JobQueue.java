package wheattrack.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import wheattrack.api.AttemptOutcome;
import wheattrack.core.TimerQueue;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.scenario.Scenario.BackendGroup;

/**
 * The attempts that one backend has queued or is executing on its cores, in order of arrival. Times
 * are tenths of a millisecond from the start of the run. Runs on the run's thread only.
 */
final class JobQueue {
  /** An attempt that is queued or in progress. */
  static final class Job {
    private final ReceivedAttempt attempt;
    private final double work;
    private final long arrivedAt;
    private TimerQueue.Timer completionTimer;
    private long completesAt;

    private Job(ReceivedAttempt attempt, double work, long arrivedAt) {
      this.attempt = attempt;
      this.work = work;
      this.arrivedAt = arrivedAt;
    }
  }

  private final RunEnvironment environment;
  private final int backendIndex;
  private final BackendGroup group;
  private final BooleanSupplier isServing;
  private final DoubleSupplier speedFactor;
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final List<Job> running = new ArrayList<>();
  private long pausedUntil;
  private double slowdown = 1;

  /**
   * Creates the empty queue of a backend.
   *
   * @param isServing whether the backend may start jobs now
   * @param speedFactor the backend's present speed as a fraction of its full speed
   */
  JobQueue(
      RunEnvironment environment,
      int backendIndex,
      BackendGroup group,
      BooleanSupplier isServing,
      DoubleSupplier speedFactor) {
    this.environment = environment;
    this.backendIndex = backendIndex;
    this.group = group;
    this.isServing = isServing;
    this.speedFactor = speedFactor;
  }

  /** Creates a job for an attempt that arrives now; it is cancelled if its connection is closed. */
  Job create(ReceivedAttempt attempt, double work) {
    Job job = new Job(attempt, work, environment.now());
    attempt.onConnectionClosed(() -> cancel(job));
    return job;
  }

  /** Whether all cores are busy and the queue has reached its capacity. */
  boolean isFull() {
    return queue.size() >= group.queueCapacity() && running.size() >= group.cores();
  }

  /** Queues a job, and starts it immediately if a core is free. */
  void add(Job job) {
    queue.add(job);
    startQueued();
  }

  private void startQueued() {
    while (isServing.getAsBoolean()
        && environment.now() >= pausedUntil
        && running.size() < group.cores()
        && !queue.isEmpty()) {
      Job job = queue.poll();
      if (environment.now() >= job.attempt.deadline()) {
        job.attempt.reply(AttemptOutcome.FULL); // its deadline has passed, so it is not started
      } else {
        start(job);
      }
    }
  }

  private void start(Job job) {
    long now = environment.now();
    running.add(job);
    environment.record(
        LedgerRecord.executionStarted(
            now,
            job.attempt.requestId(),
            job.attempt.proxy(),
            backendIndex,
            job.arrivedAt,
            job.work));
    double speed = group.speed() * speedFactor.getAsDouble() / slowdown;
    job.completesAt = now + Math.max(1, Math.round(job.work / speed));
    scheduleCompletion(job);
  }

  private void scheduleCompletion(Job job) {
    job.completionTimer =
        environment.schedule(job.completesAt - environment.now(), () -> complete(job));
  }

  private void complete(Job job) {
    running.remove(job);
    job.attempt.reply(AttemptOutcome.DONE);
    startQueued();
  }

  /** Removes a job whose connection was closed, whether it is queued or in progress. */
  private void cancel(Job job) {
    if (!queue.remove(job) && running.remove(job)) {
      environment.cancel(job.completionTimer);
      startQueued();
    }
  }

  /** Removes all jobs, those in progress first, and passes the attempt of each to the action. */
  void removeAll(Consumer<ReceivedAttempt> action) {
    List<Job> jobs = new ArrayList<>(running);
    jobs.addAll(queue);
    running.clear();
    queue.clear();
    for (Job job : jobs) {
      environment.cancel(job.completionTimer);
      action.accept(job.attempt);
    }
  }

  /** Stops the jobs in progress until {@link #resume} resets them. */
  void suspend() {
    running.forEach(job -> environment.cancel(job.completionTimer));
  }

  /** Resets the jobs that {@link #suspend} stopped, and starts queued ones. */
  void resume() {
    List<Job> lostJobs = List.copyOf(running);
    running.clear();
    lostJobs.forEach(job -> job.attempt.reply(AttemptOutcome.RESET));
    startQueued();
  }

  /** Starts no job for this duration, and delays the jobs in progress by it. */
  void pauseFor(long duration) {
    pausedUntil = Math.max(pausedUntil, environment.now() + duration);
    for (Job job : running) {
      environment.cancel(job.completionTimer);
      job.completesAt += duration;
      scheduleCompletion(job);
    }
    environment.schedule(duration, this::startQueued);
  }

  /** Divides the speed by a factor, for jobs that start from now on. */
  void setSlowdown(double factor) {
    slowdown = factor;
  }
}
