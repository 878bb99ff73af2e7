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
 * Ejects backends that stay silent or reject at once, and reinstates them at their next answer;
 * until then now and then a probe request goes there.
 */
final class OutlierDetector {
  // requests from one probe request to the next, so that few are risked
  private static final int REQUESTS_PER_PROBE = 8;
  private static final long MAX_PROBE_INTERVAL = 4 * Ticks.SECOND;

  private final PolicyState state;
  private int ejectedCount;
  private long requestsAtLastProbe;

  OutlierDetector(PolicyState state) {
    this.state = state;
  }

  /** Ejected backends among those that this proxy sends to. */
  int ejectedCount() {
    return ejectedCount;
  }

  /** Takes up the backends that this proxy sends to. */
  void recount(BackendState[] backends) {
    ejectedCount = (int) Arrays.stream(backends).filter(BackendState::isEjected).count();
  }

  /** Ejects a backend that was silent for too long: longer where it has little, or much work. */
  void checkSilence(BackendState backend) {
    if (backend.inFlight() == 0) {
      return;
    }
    double silence = backend.timeWithoutAnswer();
    double meanTime = state.waits().timeToFinish(backend, (int) state.costs().meanCost());
    double patience = state.tightestObjective() / 2.0 + 6 * meanTime / (1 + backend.inFlight());
    if (silence > patience) {
      long millis = (long) backend.timeWithoutAnswer() / 10;
      setEjected(backend, true, backend.inFlight() + " out, silent for " + millis + " ms");
    }
  }

  /** Judges a backend by the outcome of an attempt, which is accounted for already. */
  void onOutcome(Attempt attempt, AttemptOutcome outcome, long latency) {
    BackendState backend = attempt.backend();
    // incident: four attempts a request at closed ports; a late rejection is another matter
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

  /** Whether a request may probe an ejected backend: a light one that may be retried elsewhere. */
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
