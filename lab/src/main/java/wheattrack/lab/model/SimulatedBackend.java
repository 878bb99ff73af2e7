package wheattrack.lab.model;

import wheattrack.api.AttemptOutcome;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.referee.ColdBudget;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.scenario.Scenario.BackendGroup;

/**
 * One backend, the same on the virtual clock and on sockets: its cores, queue, cold start and
 * faults. Times are tenths of a millisecond from the start of the run. Runs on the run's thread
 * only.
 */
public final class SimulatedBackend {
  /**
   * How it treats connections and requests: UP serves them, DEAD refuses connections, SILENT drops
   * everything without an answer, HUNG accepts requests and answers none.
   */
  public enum State {
    UP,
    DEAD,
    SILENT,
    HUNG
  }

  /** Standard deviation of the logarithm of the noise on a request's work. */
  private static final double WORK_NOISE = 0.2;

  /** Time until a failing request is answered. */
  private static final long ERROR_TIME = 10;

  /** Factors of a replacement's rank in the order of ids; they move it away from its index. */
  private static final long RANK_PER_INDEX = 31;

  private static final long RANK_PER_REPLACEMENT = 17;

  private final RunEnvironment environment;
  private final int index;
  private final int zone;
  private final BackendGroup group;
  private final RandomStream random;
  private final JobQueue jobs;
  private final ColdBudget coldBudget;
  private State state = State.DEAD;
  private boolean isDraining;
  private boolean isColdStarted;
  private boolean isCollapsed;
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

  /** Its number among the backends, from 0; a replacement has the same one. */
  public int index() {
    return index;
  }

  /** The number of its zone, from 0. */
  public int zone() {
    return zone;
  }

  /** The group of equal backends to which it belongs. */
  public BackendGroup group() {
    return group;
  }

  /** How it treats connections and requests now. */
  public State state() {
    return state;
  }

  /** Whether it is draining, and so refuses new requests. */
  public boolean isDraining() {
    return isDraining;
  }

  /** Whether it has collapsed under overload while it was cold; then it never starts again. */
  public boolean isCollapsed() {
    return isCollapsed;
  }

  /** When it last started. */
  public long startedAt() {
    return startedAt;
  }

  /** Whether its last start was a cold one; it may have reached its full speed since. */
  public boolean isColdStarted() {
    return isColdStarted;
  }

  /**
   * Its id in the endpoint list, greater than 0. A replacement has a new id, at another position in
   * the order of ids.
   */
  public long id() {
    int backendCount = environment.scenario().backendCount();
    long rank =
        replacements == 0
            ? index
            : (index * RANK_PER_INDEX + replacements * RANK_PER_REPLACEMENT) % backendCount;
    return (rank * backendCount + replacements) * backendCount + index + 1;
  }

  /** Makes its next start that of a replacement, with a new id. */
  public void replace() {
    replacements++;
  }

  /**
   * Changes each time its process or machine fails; connections to earlier incarnations are broken.
   */
  public int incarnation() {
    return incarnation;
  }

  /**
   * Starts its process, unless it has collapsed.
   *
   * @param cold whether it is slow at first, as the group's cold speed says
   */
  public void start(boolean cold) {
    if (isCollapsed) {
      return;
    }
    isDraining = false;
    startedAt = environment.now();
    isColdStarted = cold;
    coldBudget.clear();
    environment.record(LedgerRecord.backendStarted(environment.now(), index, fullCapacity(), cold));
    transitionTo(State.UP);
  }

  private double fullCapacity() {
    return group.cores() * group.speed();
  }

  /** Its present speed as a fraction of its full speed. */
  private double speedFactor() {
    return isColdStarted ? group.speedFactorAt(environment.now() - startedAt) : 1;
  }

  /** Accepts one more connection; returns false if it has reached the group's limit. */
  public boolean tryAcceptConnection() {
    if (connectionCount >= group.maxConnections()) {
      return false;
    }
    connectionCount++;
    return true;
  }

  /** A connection that was accepted in the given incarnation is closed. */
  public void connectionClosed(int ofIncarnation) {
    if (ofIncarnation == incarnation) {
      connectionCount--;
    }
  }

  /**
   * Receives an attempt: queues it, answers it or drops it.
   *
   * @param sentAt when its first byte left the proxy
   * @param onNewConnection whether it is the first attempt on its connection
   */
  public void receive(ReceivedAttempt attempt, long sentAt, boolean onNewConnection) {
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
    } else if (isDraining || jobs.isFull()) {
      attempt.reply(AttemptOutcome.FULL);
    } else if (random.nextBoolean(failureShare)) {
      environment.schedule(ERROR_TIME, () -> attempt.reply(AttemptOutcome.ERROR));
    } else {
      jobs.add(job);
    }
  }

  private boolean collapsesUnder(double work, long sentAt) {
    double speedFactor = speedFactor();
    return isColdStarted
        && speedFactor < 1
        && coldBudget.add(sentAt, work, fullCapacity() * speedFactor, true);
  }

  private void collapse(ReceivedAttempt lastAttempt) {
    isCollapsed = true;
    environment.record(LedgerRecord.backendCollapsed(environment.now(), index));
    lastAttempt.completed(AttemptOutcome.RESET);
    environment.registry().scheduleFailureDetection(this);
    crash();
  }

  /** The process dies, which resets its connections. */
  public void crash() {
    incarnation++;
    connectionCount = 0;
    jobs.removeAll(attempt -> attempt.reply(AttemptOutcome.RESET));
    transitionTo(State.DEAD);
  }

  /** The machine loses its network: it sends nothing more, and nothing reaches it. */
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

  /** Pauses the process, as a garbage collection does: all of its work ends later. */
  public void pauseFor(long duration) {
    if (state == State.UP) {
      jobs.pauseFor(duration);
    }
  }

  /** Divides its speed by a factor, for work that starts from now on. */
  public void setSlowdown(double factor) {
    jobs.setSlowdown(factor);
  }

  /** Sets the share of requests that fail. */
  public void setFailureShare(double share) {
    failureShare = share;
  }

  /** Refuses new requests from now on. */
  public void drain() {
    isDraining = true;
  }
}
