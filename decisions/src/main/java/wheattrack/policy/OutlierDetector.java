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
 * Ejects backends that do not answer or reject immediately, and reinstates them at their next
 * answer. An ejected backend receives only a probe request from time to time.
 */
final class OutlierDetector {
  // least number of requests between two probe requests, so that few are put at risk
  private static final int REQUESTS_PER_PROBE = 8;
  private static final double MEAN_TIMES_TO_WAIT = 6;
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

  /** Ejects a backend that has not answered for too long, judged by the work it has in flight. */
  void checkSilence(BackendState backend) {
    if (backend.inFlight() == 0) {
      return;
    }
    double silence = backend.timeWithoutAnswer();
    double meanTime = state.waits().timeToFinish(backend, (int) state.costs().meanCost());
    double byWork = MEAN_TIMES_TO_WAIT * meanTime / (1 + backend.inFlight());
    double patience = state.tightestObjective() / 2.0 + byWork;
    if (silence > patience) {
      long millis = (long) backend.timeWithoutAnswer() / 10;
      setEjected(backend, true, backend.inFlight() + " out, silent for " + millis + " ms");
    }
  }

  /** Ejects or reinstates a backend by the outcome of an attempt that is accounted for. */
  void onOutcome(Attempt attempt, AttemptOutcome outcome, long latency) {
    BackendState backend = attempt.backend();
    // incident: up to four attempts per request went to closed ports; a late rejection is not meant
    boolean atOnce = latency < AdmissionControl.TOLERATED_WAIT * state.tightestObjective();
    if (outcome.isRejection() && backend.inFlight() == 0 && atOnce) {
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

  boolean isProbeDue(BackendState backend) {
    return backend.isEjected() && state.now() >= backend.nextProbeRequestAt();
  }

  void onProbeRequest(BackendState backend) {
    requestsAtLastProbe = state.traffic().requests();
    backend.backOffProbeRequests(state.now(), MAX_PROBE_INTERVAL);
  }
}
