package wheattrack.lab.model;

import wheattrack.api.AttemptOutcome;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.referee.ColdBudget;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.scenario.Scenario.BackendGroup;

/**
 * One backend, on either clock: cores, a queue, a cold start, and the faults that may hit it. Times
 * are tenths of a millisecond of the run. Runs on the run's thread only.
 */
public final class SimulatedBackend {
  /**
   * What it does with what arrives: DEAD refuses connections, SILENT drops everything, HUNG accepts
   * requests and answers none.
   */
  public enum State {
    UP,
    DEAD,
    SILENT,
    HUNG
  }

  /** Standard deviation of the logarithm of the work of equal requests. */
  private static final double WORK_NOISE = 0.2;

  /** Time that a request takes which fails. */
  private static final long ERROR_TIME = 10;

  private final RunEnvironment environment;
  private final int index;
  private final int zone;
  private final BackendGroup group;
  private final RandomStream random;
  private final JobQueue jobs;
  private final ColdBudget coldBudget;
  private State state = State.DEAD;
  private boolean draining;
  private boolean coldStarted;
  private boolean collapsed;
  private long startedAt;
  private double failureShare;
  private int incarnation;
  private int connectionCount;
  private int replacements;
  private Runnable stateListener = () -> {};

  SimulatedBackend(RunEnvironment environment, int index, BackendGroup group) {
    this.environment = environment;
    this.index = index;
    this.group = group;
    zone = environment.scenario().zoneOf(index);
    random = environment.randomStream("server" + index);
    coldBudget = environment.scenario().coldBudget();
    jobs = new JobQueue(environment, index, group, () -> state == State.UP, this::speedFactor);
  }

  /** Sets the one listener that runs after each change of state. */
  public void onStateChange(Runnable listener) {
    stateListener = listener;
  }

  private void transitionTo(State next) {
    state = next;
    stateListener.run();
  }

  /** Its number among the backends, from 0; a replacement keeps it. */
  public int index() {
    return index;
  }

  /** The number of its zone, from 0. */
  public int zone() {
    return zone;
  }

  /** What it shares with others of its kind. */
  public BackendGroup group() {
    return group;
  }

  /** What it does with what arrives. */
  public State state() {
    return state;
  }

  /** Whether it refuses new requests because it is to end. */
  public boolean isDraining() {
    return draining;
  }

  /** Whether it collapsed under its load while it was cold; it does not start again. */
  public boolean isCollapsed() {
    return collapsed;
  }

  /** When it last started. */
  public long startedAt() {
    return startedAt;
  }

  /** Whether its last start was a cold one, be it long ago. */
  public boolean isColdStarted() {
    return coldStarted;
  }

  /**
   * The id under which the endpoint list names it, greater than 0; a replacement has another one,
   * elsewhere in the order of ids.
   */
  public long id() {
    int backendCount = environment.scenario().backendCount();
    long rank = replacements == 0 ? index : (index * 31L + replacements * 17L) % backendCount;
    return (rank * backendCount + replacements) * backendCount + index + 1;
  }

  /** Makes its next start that of another backend in its place. */
  public void replace() {
    replacements++;
  }

  /** Changes each time its process or machine fails; connections of earlier ones are broken. */
  public int incarnation() {
    return incarnation;
  }

  /** Starts its process, unless it has collapsed; cold, it is slow at first. */
  public void start(boolean cold) {
    if (collapsed) {
      return;
    }
    draining = false;
    startedAt = environment.now();
    coldStarted = cold;
    coldBudget.clear();
    environment.record(LedgerRecord.backendStarted(environment.now(), index, fullCapacity(), cold));
    transitionTo(State.UP);
  }

  private double fullCapacity() {
    return group.cores() * group.speed();
  }

  /** The part of its speed that it has now, up to 1. */
  private double speedFactor() {
    return coldStarted ? group.speedFactorAt(environment.now() - startedAt) : 1;
  }

  /** Accepts one connection more, or refuses it where it has as many as it can have. */
  public boolean tryConnect() {
    if (connectionCount >= group.maxConnections()) {
      return false;
    }
    connectionCount++;
    return true;
  }

  /** A connection that it accepted in that incarnation is closed. */
  public void connectionClosed(int ofIncarnation) {
    if (ofIncarnation == incarnation) {
      connectionCount--;
    }
  }

  /**
   * An attempt arrives.
   *
   * @param sentAt when its first byte left the proxy
   * @param onNewConnection whether it is the first one on its connection
   */
  public void receive(BackendVisit attempt, long sentAt, boolean onNewConnection) {
    if (state == State.SILENT) {
      return;
    }
    if (state == State.DEAD) {
      attempt.completed(AttemptOutcome.RESET);
      return;
    }
    double handshake = onNewConnection ? group.handshakeWork() : 0;
    double work = attempt.work() * random.nextLogNormal(WORK_NOISE) + handshake;
    environment.record(
        LedgerRecord.attemptArrived(sentAt, attempt.requestId(), attempt.proxy(), index, work));
    if (collapsesUnder(work, sentAt)) {
      collapse(attempt);
      return;
    }
    JobQueue.Job job = jobs.create(attempt, work);
    if (state == State.HUNG) {
      jobs.add(job);
    } else if (draining || jobs.isFull()) {
      attempt.reply(AttemptOutcome.FULL);
    } else if (random.nextBoolean(failureShare)) {
      environment.schedule(ERROR_TIME, () -> attempt.reply(AttemptOutcome.ERROR));
    } else {
      jobs.add(job);
    }
  }

  private boolean collapsesUnder(double work, long sentAt) {
    double speedFactor = speedFactor();
    return coldStarted
        && speedFactor < 1
        && coldBudget.add(sentAt, work, fullCapacity() * speedFactor, true);
  }

  private void collapse(BackendVisit lastAttempt) {
    collapsed = true;
    environment.record(LedgerRecord.backendCollapsed(environment.now(), index));
    lastAttempt.completed(AttemptOutcome.RESET);
    environment.registry().scheduleDeathNotice(this);
    crash();
  }

  /** The process dies: connections break. */
  public void crash() {
    incarnation++;
    connectionCount = 0;
    jobs.removeAll(attempt -> attempt.reply(AttemptOutcome.RESET));
    transitionTo(State.DEAD);
  }

  /** The machine is cut off: it sends nothing more, and nothing reaches it. */
  public void vanish() {
    incarnation++;
    connectionCount = 0;
    jobs.removeAll(attempt -> attempt.onConnectionClosed(null));
    transitionTo(State.SILENT);
  }

  /** Suspends the process until {@link #resume}. */
  public void hang() {
    if (state == State.UP) {
      transitionTo(State.HUNG);
      jobs.suspend();
    }
  }

  /** Resumes the process: requests in progress when it hung are lost, queued ones are served. */
  public void resume() {
    if (state == State.HUNG) {
      transitionTo(State.UP);
      jobs.resume();
    }
  }

  /** The process pauses for a time, as in a garbage collection; all of its work ends later. */
  public void pauseFor(long duration) {
    if (state == State.UP) {
      jobs.pauseFor(duration);
    }
  }

  /** Divides its speed by a factor, for work that starts from now on. */
  public void setSlowdown(double factor) {
    jobs.setSlowdown(factor);
  }

  /** Lets this share of requests fail. */
  public void setFailureShare(double share) {
    failureShare = share;
  }

  /** Refuses new requests from now on. */
  public void drain() {
    draining = true;
  }
}
