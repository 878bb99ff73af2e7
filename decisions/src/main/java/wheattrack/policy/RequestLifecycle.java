package wheattrack.policy;

import java.util.ArrayList;
import java.util.List;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.RequestHandle;
import wheattrack.state.Attempt;
import wheattrack.state.BackendState;
import wheattrack.state.LoadProbeRound;
import wheattrack.state.OpenRequest;
import wheattrack.state.PolicyState;
import wheattrack.state.RejectionCause;

/** One request from arrival to final answer: its attempts, retries, hedging and rejection. */
final class RequestLifecycle implements RequestHandle {
  /** Backends that are probed for their load before a first attempt. */
  private static final int LOAD_PROBES = 2;

  /** The tightest objective divided by this is the longest wait for load probes. */
  private static final int LOAD_PROBE_TIMEOUT_DIVISOR = 30;

  /** A request may be given up once its time left is the tightest objective divided by this. */
  private static final int GIVE_UP_MARGIN_DIVISOR = 10;

  /** An attempt may count as stuck after the tightest objective divided by this. */
  private static final int STUCK_AFTER_DIVISOR = 4;

  /** A request may be hedged from an age of its objective divided by this, extended as below. */
  private static final int HEDGE_AFTER_DIVISOR = 3;

  /**
   * A rejected client is advised to wait for its time left divided by this, or for the longest
   * advised wait if less than its objective divided by this is left.
   */
  private static final int RETRY_AFTER_DIVISOR = 4;

  /** The age for hedging is multiplied by 1 plus this number divided by the number of proxies. */
  private static final double HEDGE_DELAY_PROXIES = 3.0;

  private final EquiloadBalancer balancer;
  private final PolicyState state;
  private final IntervalPartition partition;
  private final AdmissionControl admission;
  private final OpenRequest open;
  private final int maxAttempts;
  private int position = -1;

  RequestLifecycle(EquiloadBalancer balancer, OpenRequest open) {
    this.balancer = balancer;
    this.open = open;
    state = balancer.state;
    partition = balancer.partition;
    admission = balancer.admission;
    maxAttempts = state.settings().attempts().maxAttempts();
  }

  /**
   * The position of the request's interval. It is drawn once for the load probes and the first
   * attempt, and anew for each retry.
   */
  private int firstPosition() {
    if (position < 0 || !open.attempts().isEmpty()) {
      position = partition.positionOf(open.request().costHint());
    }
    return position % partition.size();
  }

  /**
   * Sends the first attempt; if load reports come only by probes, after probing the first backends
   * from the request's interval on.
   */
  void start() {
    int probeCount = state.settings().loadReports().mustBeProbed() ? LOAD_PROBES : 0;
    List<BackendState> probed = new ArrayList<>(probeCount);
    for (int offset = 0; offset < partition.size() && probed.size() < probeCount; offset++) {
      BackendState backend = partition.at(firstPosition() + offset);
      if (backend.isReady() && !backend.isEjected()) {
        probed.add(backend);
      }
    }
    long timeout = state.tightestObjective() / LOAD_PROBE_TIMEOUT_DIVISOR;
    LoadProbeRound.start(state.runtime(), probed, timeout, this::sendOrGiveUp);
  }

  /** Sends the next attempt. If none can be sent and none is in flight, gives the final answer. */
  private void sendOrGiveUp() {
    if (open.isClosed()) {
      return;
    }
    long now = state.now();
    BackendState backend = null;
    if (partition.size() > 0
        && open.attempts().size() < maxAttempts
        && now < open.request().deadline()) {
      backend = balancer.selector.selectForProbe(open);
      backend = backend != null ? backend : balancer.selector.select(open, firstPosition());
    }
    boolean shed = admission.shouldShed(open);
    boolean tooHeavy = admission.isTooHeavyForDeadline(open, backend);
    if (backend != null && !tooHeavy && !shed && admission.admits(backend, open.timeLeft(now))) {
      send(backend);
    } else if (open.attemptsInFlight() == 0) {
      if (open.attempts().isEmpty()) {
        state.idleRejections().onRejected(rejectionCause(backend, shed));
      }
      giveUp();
    }
  }

  private RejectionCause rejectionCause(BackendState backend, boolean shed) {
    if (partition.size() == 0) {
      return RejectionCause.NO_BACKEND_READY;
    }
    if (backend == null) {
      return RejectionCause.NO_BACKEND_AVAILABLE;
    }
    return shed ? RejectionCause.LOAD_SHED : RejectionCause.WAIT_TOO_LONG;
  }

  private void send(BackendState backend) {
    Attempt attempt = open.startAttempt(backend);
    balancer.slowStart.spend(backend, open.cost());
    admission.onAttemptSent();
    long timeout = open.request().deadline() - attempt.sentAt();
    AttemptCallback callback =
        (outcome, latency, requestEnded) -> onOutcome(attempt, outcome, latency, requestEnded);
    state.runtime().sendAttempt(open.request(), backend.index(), timeout, callback);
  }

  private void onOutcome(
      Attempt attempt, AttemptOutcome outcome, long latency, boolean requestEnded) {
    open.endAttempt(attempt, outcome);
    balancer.outliers.onOutcome(attempt, outcome, latency);
    if (open.isClosed()) {
      return;
    }
    if (requestEnded) {
      close(outcome == AttemptOutcome.DONE);
    } else if (open.attemptsInFlight() == 0) {
      if (outcome == AttemptOutcome.TIMEOUT) {
        giveUp();
      } else {
        sendOrGiveUp();
      }
    }
  }

  /** Rejects the request if a retry by the client is safe, else fails it. */
  private void giveUp() {
    close(false);
    // a request that may have run is rejected only if the client's retry has no second effect
    if (open.mayHaveRun() && !open.requestClass().isClientRetrySafe()) {
      state.runtime().fail(open.request());
      return;
    }
    long timeLeft = open.timeLeft(state.now());
    long retryAfter = state.settings().attempts().maxRetryAfter();
    if (timeLeft >= open.requestClass().latencyObjective() / RETRY_AFTER_DIVISOR) {
      retryAfter = Math.min(retryAfter, timeLeft / RETRY_AFTER_DIVISOR);
    }
    state.runtime().reject(open.request(), retryAfter);
  }

  private void close(boolean answered) {
    open.close(answered);
    balancer.openRequests.remove(this);
    open.attempts().forEach(this::cancel);
  }

  private void cancel(Attempt attempt) {
    if (attempt.isCancellable() && state.settings().attempts().mayCancel()) {
      attempt.requestCancel();
      state.runtime().cancelAttempt(open.request(), attempt.number());
    }
  }

  /**
   * Gives up a request that is nearly out of time; hedges a request whose only attempt is stuck, or
   * cancels that attempt so that it is retried. Must be called periodically.
   */
  void checkProgress() {
    if (shouldGiveUp()) {
      giveUp();
      return;
    }
    if (open.attemptsInFlight() != 1
        || open.isStreaming()
        || open.attempts().size() >= maxAttempts
        || open.requestClass().isNonIdempotent()) {
      return;
    }
    for (Attempt attempt : open.attempts()) {
      if (isStuck(attempt)) {
        if (state.settings().attempts().mayHedge()) {
          sendOrGiveUp();
        } else {
          cancel(attempt);
        }
        return;
      }
    }
  }

  /**
   * Whether to give up a request: its time is nearly over and a late answer has no value. If its
   * client could still retry it, the same work would be done twice: such a request is given up only
   * while load is shed, with the probability of the shed share.
   */
  private boolean shouldGiveUp() {
    if (open.isStreaming()
        || !open.hasNoValueWhenLate()
        || open.timeLeft(state.now()) > state.tightestObjective() / GIVE_UP_MARGIN_DIVISOR) {
      return false;
    }
    long maxRetryAfter = state.settings().attempts().maxRetryAfter();
    return open.age() + maxRetryAfter >= open.requestClass().clientTimeout()
        || state.random().draw() < admission.shedShare();
  }

  /** Whether an attempt is to be hedged, or to be cancelled where hedging is not allowed. */
  private boolean isStuck(Attempt attempt) {
    return attempt.isCancellable()
        && (attempt.backend().isEjected() || justifiesHedging(attempt))
        && state.now() - attempt.sentAt() >= state.tightestObjective() / STUCK_AFTER_DIVISOR;
  }

  private boolean justifiesHedging(Attempt attempt) {
    long hedgeAfter = open.requestClass().latencyObjective() / HEDGE_AFTER_DIVISOR;
    return state.settings().attempts().mayHedge()
        && admission.shedShare() == 0
        && attempt.backend().inFlight() == 1
        && open.hasNoValueWhenLate()
        && open.age() > hedgeAfter * (1 + HEDGE_DELAY_PROXIES / state.proxyCount());
  }

  @Override
  public void streamingStarted(int attempt) {
    open.markStreaming();
  }

  @Override
  public void clientDisconnected() {
    if (!open.isClosed()) {
      close(false);
    }
  }
}
