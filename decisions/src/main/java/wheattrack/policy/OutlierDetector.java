package wheattrack.policy;

import java.util.Arrays;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.PolicyEvent;
import wheattrack.state.Attempt;
import wheattrack.state.BackendState;
import wheattrack.state.OpenRequest;
import wheattrack.state.PolicyState;
import wheattrack.state.Ticks;

/**
 * Ejects backends that have not answered for too long or that reject a request immediately while
 * they have nothing else in flight, and reinstates them at their next answer. An ejected backend
 * receives only a probe request from time to time.
 */
final class OutlierDetector {
  /** Least number of requests between two probe requests, so that few requests are put at risk. */
  private static final int REQUESTS_PER_PROBE = 8;

  /** The tightest objective divided by this is the silence that is tolerated in any case. */
  private static final double SILENCE_DIVISOR = 2.0;

  /**
   * Further silence that is tolerated for the work in flight, as a multiple of the mean time that
   * the attempts in flight and one more mean request are expected to take.
   */
  private static final double TOLERATED_MEAN_TIMES = 6;

  /** Longest time between two probe requests to a backend, in ticks. */
  private static final long MAX_PROBE_INTERVAL = 4 * Ticks.SECOND;

  private final PolicyState state;
  private int ejectedCount;
  private long requestsAtLastProbe;

  OutlierDetector(PolicyState state) {
    this.state = state;
  }

  /** Ejected backends among those that this proxy uses. */
  int ejectedCount() {
    return ejectedCount;
  }

  /** Counts the ejected ones among the backends that this proxy now uses. */
  void recount(BackendState[] backends) {
    ejectedCount = (int) Arrays.stream(backends).filter(BackendState::isEjected).count();
  }

  /** Ejects a backend that has not answered for too long for the work that it has in flight. */
  void checkSilence(BackendState backend) {
    if (backend.inFlight() == 0) {
      return;
    }
    double silence = backend.timeWithoutAnswer();
    double finishTime = state.waits().timeToFinish(backend, (int) state.costs().meanCost());
    double toleratedForWork = TOLERATED_MEAN_TIMES * finishTime / (1 + backend.inFlight());
    double toleratedSilence = state.tightestObjective() / SILENCE_DIVISOR + toleratedForWork;
    if (silence > toleratedSilence) {
      long millis = (long) backend.timeWithoutAnswer() / Ticks.MILLISECOND;
      setEjected(backend, true, backend.inFlight() + " out, silent for " + millis + " ms");
    }
  }

  /**
   * Ejects or reinstates a backend by the outcome of an attempt, which must have been recorded in
   * the backend's state before.
   *
   * @param latency time from sending to the outcome, in ticks
   */
  void onOutcome(Attempt attempt, AttemptOutcome outcome, long latency) {
    BackendState backend = attempt.backend();
    // Guards against spending up to four attempts per request on closed ports. A rejection after a
    // wait comes from a backend that is running.
    boolean immediate =
        latency < AdmissionControl.TOLERATED_WAIT_FRACTION * state.tightestObjective();
    if (outcome.isRejection() && backend.inFlight() == 0 && immediate) {
      setEjected(backend, true, "turned away with nothing out");
    }
    if (outcome == AttemptOutcome.DONE || outcome == AttemptOutcome.ERROR) {
      setEjected(backend, false, "it answers");
    }
  }

  private void setEjected(BackendState backend, boolean eject, String cause) {
    if (backend.isEjected() == eject) {
      return;
    }
    backend.setEjected(eject, state.now(), state.tightestObjective());
    if (backend.isReady()) {
      ejectedCount += eject ? 1 : -1;
    }
    state.runtime().report(PolicyEvent.ejection(eject, backend.id(), cause));
  }

  /** Whether a request may probe an ejected backend: it is light and can be retried elsewhere. */
  boolean mayProbe(OpenRequest request) {
    return ejectedCount > 0
        && (request.requestClass().isIdempotent() || !state.hasIdempotentClass())
        && request.attempts().isEmpty()
        && request.cost() <= state.costs().meanCost()
        && state.traffic().requests() - requestsAtLastProbe >= REQUESTS_PER_PROBE;
  }

  /** Whether a backend is ejected and the time of its next probe request has come. */
  boolean isProbeDue(BackendState backend) {
    return backend.isEjected() && state.now() >= backend.nextProbeRequestAt();
  }

  /** Records that a probe request is sent to a backend. */
  void onProbeRequest(BackendState backend) {
    requestsAtLastProbe = state.traffic().requests();
    backend.backOffProbeRequests(state.now(), MAX_PROBE_INTERVAL);
  }
}
