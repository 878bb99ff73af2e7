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
  private static final int LOAD_PROBES = 2;

  // fractions of a latency objective or of the time left, as divisors
  private static final int LOAD_PROBE_TIMEOUT_DIVISOR = 30;
  private static final int GIVE_UP_MARGIN_DIVISOR = 10;
  private static final int STUCK_AFTER_DIVISOR = 4;
  private static final int HEDGE_AFTER_DIVISOR = 3;
  private static final int RETRY_AFTER_DIVISOR = 4;

  private final EquiloadBalancer balancer;
  private final PolicyState state;
  private final IntervalPartition partition;
  private final AdmissionControl admission;
  private final OpenRequest open;
  private final int maxAttempts;
  private int place = -1;

  RequestLifecycle(EquiloadBalancer balancer, OpenRequest open) {
    this.balancer = balancer;
    this.open = open;
    state = balancer.state;
    partition = balancer.partition;
    admission = balancer.admission;
    maxAttempts = state.settings().attempts().maxAttempts();
  }

  /** The position of its interval; for the first attempt the one probed, for retries a new draw. */
  private int firstPlace() {
    if (place < 0 || !open.attempts().isEmpty()) {
      place = partition.place(open.request().costHint());
    }
    return place % partition.size();
  }

  /** Sends the first attempt, after load probes to the first backends of its interval if in use. */
  void start() {
    int wanted = state.settings().loadReports().mustBeProbed() ? LOAD_PROBES : 0;
    List<BackendState> probed = new ArrayList<>(wanted);
    for (int k = 0; k < partition.size() && probed.size() < wanted; k++) {
      BackendState backend = partition.at(firstPlace() + k);
      if (backend.isReady() && !backend.isEjected()) {
        probed.add(backend);
      }
    }
    long timeout = state.tightestObjective() / LOAD_PROBE_TIMEOUT_DIVISOR;
    LoadProbeRound.start(state.runtime(), probed, timeout, this::sendOrGiveUp);
  }

  /** Sends the next attempt, or gives the final answer if no further attempt can help. */
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
      backend = backend != null ? backend : balancer.selector.select(open, firstPlace());
    }
    boolean shed = admission.sheds(open);
    boolean hopeless = admission.isHopeless(open, backend);
    if (backend != null && !hopeless && !shed && admission.admits(backend, open.timeLeft(now))) {
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
    admission.onSent();
    long timeout = open.request().deadline() - attempt.sentAt();
    AttemptCallback callback = (how, latency, ended) -> onOutcome(attempt, how, latency, ended);
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
    // rule two: what may have run is rejected only if a client's retry has no second effect
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

  /** Gives up a hopeless request early; hedges a stuck one, or cancels its attempt to retry it. */
  void check() {
    if (isOutOfTime()) {
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

  /** Whether the objective is nearly over, late answers are worthless, and giving up is better. */
  private boolean isOutOfTime() {
    if (open.isStreaming()
        || !open.isWorthlessWhenLate()
        || open.timeLeft(state.now()) > state.tightestObjective() / GIVE_UP_MARGIN_DIVISOR) {
      return false;
    }
    long maxRetryAfter = state.settings().attempts().maxRetryAfter();
    return open.age() + maxRetryAfter >= open.requestClass().clientTimeout()
        || state.random().draw() < admission.shedShare();
  }

  private boolean isStuck(Attempt attempt) {
    return attempt.isCancellable()
        && (attempt.backend().isEjected() || isWorthHedging(attempt))
        && state.now() - attempt.sentAt() >= state.tightestObjective() / STUCK_AFTER_DIVISOR;
  }

  private boolean isWorthHedging(Attempt attempt) {
    long patience = open.requestClass().latencyObjective() / HEDGE_AFTER_DIVISOR;
    return state.settings().attempts().mayHedge()
        && admission.shedShare() == 0
        && attempt.backend().inFlight() == 1
        && open.isWorthlessWhenLate()
        && open.age() > patience * (1 + 3.0 / state.proxyCount());
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
