package wheattrack.policy;

import java.util.SplittableRandom;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.Idempotency;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.PolicySettings;
import wheattrack.api.ProbeCallback;
import wheattrack.api.RequestClass;
import wheattrack.state.Ticks;

/**
 * Simulates one proxy through a history of changes, with backends whose speed is independent of the
 * cost hints, and clients that send at a given rate. It records the first violation of an
 * invariant: an attempt at a draining backend, or requests that are rejected for long while nothing
 * is in flight.
 */
final class SimulatedHistory implements PolicyRuntime {
  /** A second, in tenths of a millisecond. */
  static final long SECOND = VirtualClock.SECOND;

  /** The latency objective of all requests, in tenths of a millisecond. */
  static final long LATENCY_OBJECTIVE = 3_000;

  /** How long a client waits for an answer, in tenths of a millisecond. */
  private static final long CLIENT_TIMEOUT = 15_000;

  /** How long a backend warms up, in tenths of a millisecond. */
  private static final long WARM_UP_TIME = 4 * SECOND;

  /** How long an attempt takes that fails immediately, in tenths of a millisecond. */
  private static final long FAILURE_DURATION = 10;

  /** Number of ways in which cost hints relate to the work of requests. */
  private static final int HINT_MODES = 9;

  /**
   * The longest time in which all requests may be rejected while nothing is in flight and a warm
   * backend is ready, in tenths of a millisecond.
   */
  static final long MAX_REJECTING_TIME = 2 * LATENCY_OBJECTIVE;

  /** What can change; the names are printed with a failing history. */
  enum Change {
    HINTS,
    SPEED,
    OUTCOME,
    LOAD,
    DRAIN,
    RETURN,
    RESTART,
    QUIET
  }

  /**
   * One change.
   *
   * @param change what changes
   * @param variant how it changes, from 0 to 99
   * @param tenths time until the next change, in tenths of a second
   */
  record Step(Change change, int variant, int tenths) {
    @Override
    public String toString() {
      return change + "(" + variant + ") for " + tenths / 10.0 + " s";
    }
  }

  private static final int[] RATES = {5, 20, 60, 200};
  private static final AttemptOutcome[] OUTCOMES = {
    AttemptOutcome.DONE,
    AttemptOutcome.DONE,
    AttemptOutcome.ERROR,
    AttemptOutcome.FULL,
    AttemptOutcome.RESET,
    AttemptOutcome.NO_CONNECT,
    AttemptOutcome.TIMEOUT
  };

  private final SplittableRandom random;
  private final RequestClass idempotentClass =
      new RequestClass(
          0,
          LATENCY_OBJECTIVE,
          CLIENT_TIMEOUT,
          Idempotency.IDEMPOTENT,
          DeduplicationScope.ALL,
          0,
          1,
          0,
          false);
  private final RequestClass nonIdempotentClass =
      new RequestClass(
          1,
          LATENCY_OBJECTIVE,
          CLIENT_TIMEOUT,
          Idempotency.NON_IDEMPOTENT,
          DeduplicationScope.ALL,
          0,
          3,
          0,
          false);
  private final VirtualClock clock = new VirtualClock();
  private final LoadBalancer loadBalancer;
  private final int backendCount;
  private final boolean[] isReady;
  private final long[] startedAt;
  private final long[] idleAt;
  private final long[] lastAttemptAt;
  private final boolean isAsync;
  private long rejectedSince = -1;
  private int attemptsInFlight;
  private int hintMode;
  private int requestsPerSecond = 20;
  private double slowdown = 1;
  private AttemptOutcome outcome = AttemptOutcome.DONE;
  private String violation;

  SimulatedHistory(long seed, int backendCount, int proxyCount, boolean isAsync, boolean mayHedge) {
    random = new SplittableRandom(seed);
    this.backendCount = backendCount;
    this.isAsync = isAsync;
    isReady = new boolean[backendCount];
    startedAt = new long[backendCount];
    idleAt = new long[backendCount];
    lastAttemptAt = new long[backendCount];
    loadBalancer =
        new EquiloadBalancer(
            this, seed, 0, proxyCount, new RequestClass[] {idempotentClass, nonIdempotentClass});
    PolicySettings settings =
        PolicySettings.DEFAULTS
            .withAttempts(new PolicySettings.AttemptLimits(3, true, mayHedge, 2 * SECOND))
            .withSlowStart(new PolicySettings.SlowStartLimits(0.25, WARM_UP_TIME, 3, SECOND));
    loadBalancer.configure(settings, new RequestClass[] {idempotentClass, nonIdempotentClass});
    loadBalancer.start(false, 10 * SECOND);
    for (int backend = 0; backend < backendCount; backend++) {
      startedAt[backend] = Long.MIN_VALUE / 2;
      updateBackend(backend, true, true);
    }
    loadBalancer.endpointListUpdated(false);
    arrive();
  }

  private void updateBackend(int backend, boolean nowReady, boolean isNewlyListed) {
    isReady[backend] = nowReady;
    loadBalancer.updateBackend(
        new EndpointUpdate(
            backend, 10 + backend, nowReady, 0, 0, 0, 1, startedAt[backend], isNewlyListed));
  }

  /** The first violation of an invariant, or null. */
  String violation() {
    return violation;
  }

  /** Makes one change, and advances the clock by its time. */
  void apply(Step step) {
    switch (step.change) {
      case HINTS -> hintMode = step.variant % HINT_MODES;
      case SPEED -> slowdown = new double[] {1, 0.1, 10, 3}[step.variant % 4];
      case OUTCOME -> outcome = OUTCOMES[step.variant % OUTCOMES.length];
      case LOAD -> requestsPerSecond = RATES[step.variant % RATES.length];
      case DRAIN -> updateBackend(step.variant % backendCount, false, false);
      case RETURN -> updateBackend(step.variant % backendCount, true, false);
      case RESTART -> {
        startedAt[step.variant % backendCount] = now();
        updateBackend(step.variant % backendCount, true, false);
      }
      default -> {
        // quiet: nothing changes
      }
    }
    loadBalancer.endpointListUpdated(false);
    advance(step.tenths * SECOND / 10);
  }

  /** Ends all faults except those of the cost hints, which stay as they are. */
  void endAllFaults() {
    slowdown = 1;
    outcome = AttemptOutcome.DONE;
    requestsPerSecond = 50;
    for (int backend = 0; backend < backendCount; backend++) {
      updateBackend(backend, true, false);
    }
    loadBalancer.endpointListUpdated(false);
  }

  /** The first backend that has received nothing for this time, or -1. */
  int findStarvedBackend(long duration) {
    for (int backend = 0; backend < backendCount; backend++) {
      if (now() - lastAttemptAt[backend] > duration) {
        return backend;
      }
    }
    return -1;
  }

  /** Advances the clock and runs the timers that are due; stops at the first violation. */
  void advance(long duration) {
    clock.advance(duration, () -> violation != null);
  }

  private void arrive() {
    schedule(
        (long) Math.max(1, -Math.log(1 - random.nextDouble()) * SECOND / requestsPerSecond),
        this::arrive);
    double work = 100 + random.nextDouble() * 200;
    RequestClass requestClass = random.nextInt(4) == 0 ? nonIdempotentClass : idempotentClass;
    loadBalancer.accept(
        new PendingRequest(
            requestClass, now(), now() + CLIENT_TIMEOUT, costHint(work), false, work));
  }

  private int costHint(double work) {
    return switch (hintMode) {
      case 0 -> (int) work;
      case 1 -> 0;
      case 2 -> (int) (work * 1000);
      case 3 -> 1;
      case 4 -> random.nextInt(50) == 0 ? Integer.MAX_VALUE / 4 : (int) work;
      case 5 -> 1 + random.nextInt(1_000_000);
      case 6 -> (int) (40_000 / work);
      case 7 -> random.nextBoolean() ? (int) work : 0;
      default -> random.nextBoolean() ? (int) work : (int) (work * 1000);
    };
  }

  @Override
  public long now() {
    return clock.now();
  }

  @Override
  public void sendAttempt(
      PendingRequest request, int backend, long timeout, AttemptCallback callback) {
    attemptsInFlight++;
    lastAttemptAt[backend] = now();
    rejectedSince = -1;
    if (!isReady[backend]) {
      violation = "sent to a backend that is draining";
    }
    double work = (Double) request.attachment();
    long sentAt = now();
    long maxDuration = timeout == 0 ? request.deadline() - now() : timeout;
    long duration = duration(backend, work, maxDuration);
    if (outcome == AttemptOutcome.DONE) {
      idleAt[backend] = now() + duration;
    }
    boolean isLate = duration >= maxDuration;
    AttemptOutcome attemptOutcome = isLate ? AttemptOutcome.TIMEOUT : outcome;
    schedule(
        Math.max(1, Math.min(maxDuration, duration)),
        () -> {
          attemptsInFlight--;
          callback.ended(attemptOutcome, now() - sentAt, attemptOutcome == AttemptOutcome.DONE);
        });
  }

  private long duration(int backend, double work, long maxDuration) {
    if (outcome == AttemptOutcome.TIMEOUT) {
      return maxDuration;
    }
    if (outcome != AttemptOutcome.DONE) {
      return FAILURE_DURATION;
    }
    if (isAsync) {
      return (long) (work * slowdown);
    }
    return (long) (Math.max(0, idleAt[backend] - now()) + work * slowdown);
  }

  @Override
  public void cancelAttempt(PendingRequest request, int attempt) {
    // the attempt ends as it would have ended
  }

  @Override
  public void reject(PendingRequest request, long retryAfter) {
    boolean hasWarmBackend = false;
    for (int backend = 0; backend < backendCount; backend++) {
      hasWarmBackend |= isReady[backend] && now() - startedAt[backend] >= WARM_UP_TIME;
    }
    if (attemptsInFlight > 0
        || !hasWarmBackend
        || now() - request.arrivedAt() >= LATENCY_OBJECTIVE) {
      rejectedSince = -1;
    } else if (rejectedSince < 0) {
      rejectedSince = now();
    } else if (now() - rejectedSince > MAX_REJECTING_TIME) {
      violation =
          "all rejected for "
              + (now() - rejectedSince) / Ticks.MILLISECOND
              + " ms while nothing was in flight";
    }
  }

  @Override
  public void fail(PendingRequest request) {
    // only requests that may have run fail, which does not violate an invariant
  }

  @Override
  public void probeLoad(int backend, ProbeCallback callback) {
    // never called, as load reports are off
  }

  @Override
  public void closeIdleConnections(int backend) {
    // connections are not simulated
  }

  @Override
  public void schedule(long delay, Runnable task) {
    clock.schedule(delay, task);
  }

  @Override
  public void watchEndpoints() {
    // the list is complete at the start
  }

  @Override
  public void report(PolicyEvent event) {
    // events are not checked
  }
}
