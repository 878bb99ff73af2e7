package wheattrack.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.PendingRequest;
import wheattrack.api.RequestClass;
import wheattrack.statistics.LatenessCounters;

/** A request that has no final answer yet: its cost, its age and its attempts. Not thread-safe. */
public final class OpenRequest {
  /** Highest factor of the relative expected value for a request that has much time left. */
  private static final double MAX_TIMELINESS = 2;

  private final PolicyState state;
  private final PendingRequest request;
  private final double costAtArrival;
  private final double unitAtArrival;
  private final List<Attempt> attempts = new ArrayList<>(2);
  private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);
  private int attemptsInFlight;
  private boolean streaming;
  private boolean closed;

  OpenRequest(PolicyState state, PendingRequest request) {
    this.state = state;
    this.request = request;
    CostModel costs = state.costs();
    double expected = request.costHint() > 0 ? costs.costOf(request.costHint()) : costs.meanCost();
    costAtArrival = (int) Math.max(1, expected);
    unitAtArrival = costs.unit();
  }

  /** The request as its client sent it. */
  public PendingRequest request() {
    return request;
  }

  /** Its class. */
  public RequestClass requestClass() {
    return request.requestClass();
  }

  /** Its expected cost, in the present unit of costs. */
  public double cost() {
    return costAtArrival * state.costs().unit() / unitAtArrival;
  }

  /** The value of its answer: the priority weight of its class times its cost. */
  public double value() {
    return requestClass().priorityWeight() * cost();
  }

  /** Time left until its objective or its deadline, whichever is first, in ticks. */
  public long timeLeft(long now) {
    long objectiveAt = request.arrivedAt() + requestClass().latencyObjective();
    return Math.min(request.deadline(), objectiveAt) - now;
  }

  /**
   * The expected value of sending the request, relative to the mean: its priority weight, times a
   * factor that falls with the risk that it ends late. That risk is estimated from the cost and the
   * duration of recent attempts.
   */
  public double relativeExpectedValue() {
    LatenessCounters recent = state.lateness();
    double timeLeft = timeLeft(state.now());
    double timeMargin = timeLeft * recent.costDone() / (recent.attemptTime() * cost() + 1);
    return Math.min(MAX_TIMELINESS, timeMargin * timeMargin)
        * requestClass().priorityWeight()
        * state.costs().meanCost()
        / state.meanValue();
  }

  /** Whether any of its attempts may have run or may still run. */
  public boolean mayHaveRun() {
    return attempts.stream().anyMatch(Attempt::mayHaveRun);
  }

  /** The time since its arrival, in ticks. */
  public long age() {
    return state.now() - request.arrivedAt();
  }

  /** Whether an answer after its objective has no value. */
  public boolean hasNoValueWhenLate() {
    return requestClass().lateWeight() == 0;
  }

  /** Whether it is expected to miss its deadline even at a backend that has nothing else to do. */
  public boolean missesDeadlineAt(BackendState backend) {
    return cost() / state.throughput().costPerTick(backend) > request.deadline() - state.now();
  }

  /**
   * Whether an attempt that is sent to a backend now has no second effect beside any earlier one.
   */
  public boolean mayRepeatAt(BackendState backend) {
    long now = state.now();
    for (Attempt attempt : attempts) {
      if (!attempt.allowsRepeatAt(backend, requestClass(), now)) {
        return false;
      }
    }
    return true;
  }

  /** The backend of its last attempt, or null if it has none. */
  public BackendState lastBackend() {
    return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).backend();
  }

  /** Its attempts so far, by number; unmodifiable. */
  public List<Attempt> attempts() {
    return attemptsView;
  }

  /** The number of attempts in flight. */
  public int attemptsInFlight() {
    return attemptsInFlight;
  }

  /**
   * Whether no further attempt is possible, as an answer streams or the body can't be sent again.
   */
  public boolean isStreaming() {
    return streaming;
  }

  /** Records that no further attempt is possible, see {@link #isStreaming}. */
  public void markStreaming() {
    streaming = true;
  }

  /** Whether it has its final answer, or its client has disconnected. */
  public boolean isClosed() {
    return closed;
  }

  /**
   * Closes the request.
   *
   * @param answered whether a backend answered it, in time or late
   */
  public void close(boolean answered) {
    boolean inTime = answered && age() <= requestClass().latencyObjective();
    closed = true;
    state.lateness().countEnd(!attempts.isEmpty(), inTime);
  }

  /** Records an attempt that is sent to a backend now. */
  public Attempt startAttempt(BackendState backend) {
    long now = state.now();
    ReportedLoad reports = state.reportedLoad();
    double costAhead =
        reports.isFresh(backend, now) ? reports.costAhead(backend, state.costs().meanCost()) : 0;
    Attempt attempt = new Attempt(attempts.size(), backend, now, costAhead);
    attempts.add(attempt);
    attemptsInFlight++;
    state.throughput().updateBusyTime(backend, now);
    backend.attemptStarted(cost());
    state.inFlight().attemptStarted(cost(), now);
    return attempt;
  }

  /** Records that an attempt has ended. */
  public void endAttempt(Attempt attempt, AttemptOutcome outcome) {
    long now = state.now();
    double cost = cost();
    BackendState backend = attempt.backend();
    attempt.end(outcome);
    attemptsInFlight--;
    state.throughput().updateBusyTime(backend, now);
    backend.attemptEnded(cost, now);
    state.inFlight().attemptEnded(cost);
    state.lateness().addAttemptTime(now - attempt.sentAt());
    if (outcome == AttemptOutcome.CANCELLED || outcome == AttemptOutcome.TIMEOUT) {
      backend.addAbandonedCost(cost);
    }
    if (outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.DISCARDED) {
      backend.countOutcome(outcome != AttemptOutcome.DONE);
    }
    if (outcome.isRejection()) {
      backend.lowerCapacity();
    }
    if (outcome == AttemptOutcome.DONE) {
      recordAnswer(attempt, cost, now);
    }
    if (outcome == AttemptOutcome.DONE || outcome == AttemptOutcome.ERROR) {
      backend.markAnswered();
    }
  }

  private void recordAnswer(Attempt attempt, double cost, long now) {
    if (attempt.foundIdle() && request.costHint() > 0) {
      state.costs().observeLatency(request.costHint(), now - attempt.sentAt());
    }
    attempt.backend().raiseCapacity();
    state.throughput().addCostDone(attempt.backend(), cost + attempt.costAhead());
    state.lateness().addCostDone(cost);
  }
}
