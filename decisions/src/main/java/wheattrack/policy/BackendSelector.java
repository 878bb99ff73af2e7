package wheattrack.policy;

import wheattrack.state.BackendState;
import wheattrack.state.OpenRequest;
import wheattrack.state.PolicyState;

/**
 * Selects the backend of an attempt: the one whose interval contains the request's cost hint, or
 * the next one in id order that suits better.
 */
final class BackendSelector {
  /**
   * How well a backend suits a request, best first. CROWDED: it has more than its share in flight.
   * OTHER_ZONE: the request is not worth the crossing. TOO_LATE: it would miss its objective, or
   * the backend is idle only because it fails. OVERLOADED: the wait is too long to be admitted.
   */
  private enum Preference {
    GOOD,
    CROWDED,
    OTHER_ZONE,
    TOO_LATE,
    OVERLOADED
  }

  // bounds the work per request, whatever the number of backends
  private static final int MAX_CANDIDATES = 16;
  // a request may cross zones if it is worth this many times the price
  private static final double CROSSING_WORTH = 3;

  private static final double FAIR_SHARE_TOLERANCE = 1.2;

  private final PolicyState state;
  private final EquiloadBalancer balancer;
  private final IntervalPartition partition;

  BackendSelector(EquiloadBalancer balancer) {
    this.balancer = balancer;
    state = balancer.state;
    partition = balancer.partition;
  }

  /** The ejected backend that the request shall probe, or null. */
  BackendState selectForProbe(OpenRequest request) {
    if (!balancer.outliers.mayProbe(request)) {
      return null;
    }
    for (BackendState backend : partition.backends()) {
      if (balancer.outliers.isProbeDue(backend)
          && balancer.slowStart.bears(backend, request.cost(), partition.size())) {
        balancer.outliers.onProbeRequest(backend);
        return backend;
      }
    }
    return null;
  }

  /** The backend for the next attempt, or null; first is the position of the request's interval. */
  BackendState select(OpenRequest request, int first) {
    BackendState best = selectByPreference(request, first);
    return best == null && state.isIdle() ? selectLastResort(request, first) : best;
  }

  private BackendState selectByPreference(OpenRequest request, int first) {
    BackendState best = null;
    Preference bestPreference = null;
    double soonest = 0;
    int candidates = 0;
    for (int k = 0; k < partition.size() && candidates < MAX_CANDIDATES; k++) {
      BackendState backend = partition.at(first + k);
      if (!isCandidate(backend, request, k == 0)) {
        continue;
      }
      candidates++;
      double weighed = Math.max(request.cost(), request.request().costHint());
      double finish = state.waits().timeToFinish(backend, weighed);
      Preference preference = preferenceOf(backend, request, k == 0, finish);
      if (preference == Preference.GOOD) {
        return backend;
      }
      boolean comparesTimes =
          preference.compareTo(Preference.TOO_LATE) >= 0 || state.reportedLoad().isExpected();
      if (best == null
          || preference.compareTo(bestPreference) < 0
          || (preference == bestPreference && comparesTimes && finish < soonest)) {
        best = backend;
        bestPreference = preference;
        soonest = finish;
      }
    }
    return best;
  }

  private boolean isCandidate(BackendState backend, OpenRequest request, boolean own) {
    boolean allEjected = balancer.outliers.ejectedCount() >= partition.size();
    boolean unsafe = request.requestClass().isNonIdempotent();
    return backend.isReady()
        && (!backend.isEjected() || allEjected)
        && mayRunAt(backend, request)
        && balancer.slowStart.bears(backend, request.cost(), partition.size())
        && backend.inFlight() < Math.max(1, backend.capacity())
        && (own || !unsafe || !state.failureRates().isFailing(backend));
  }

  private Preference preferenceOf(
      BackendState backend, OpenRequest request, boolean own, double finish) {
    long timeLeft = request.timeLeft(state.now());
    if (!balancer.admission.admits(backend, timeLeft)) {
      return Preference.OVERLOADED;
    }
    // a failing backend is often idle: requests must not gather there
    if (finish > timeLeft || (!own && state.failureRates().isFailing(backend))) {
      return Preference.TOO_LATE;
    }
    if (!state.zoneFactor().isOwn(backend) && !isWorthCrossing(request)) {
      return Preference.OTHER_ZONE;
    }
    double hintTime = request.request().costHint() / state.throughput().paceOf(backend);
    boolean tight = finish + hintTime > timeLeft;
    return tight || isCrowded(backend) ? Preference.CROWDED : Preference.GOOD;
  }

  private boolean isWorthCrossing(OpenRequest request) {
    double price = state.settings().zones().crossingPrice();
    return !state.reportedLoad().isExpected()
        && request.worth() >= CROSSING_WORTH * price * state.meanWorth();
  }

  private boolean isCrowded(BackendState backend) {
    double meanCost = state.costs().meanCost();
    if (backend.reportedAt() > 0
        && state.reportedLoad().costAhead(backend, meanCost) > meanCost / 4) {
      return true;
    }
    double fairCost =
        FAIR_SHARE_TOLERANCE * state.inFlight().cost() * backend.share() / partition.totalShare()
            + meanCost / 4;
    return !state.reportedLoad().isFresh(backend, state.now()) && backend.inFlightCost() > fairCost;
  }

  /** All others are warming up or ejected: an ejected one may have recovered. */
  private BackendState selectLastResort(OpenRequest request, int first) {
    for (int k = 0; k < partition.size(); k++) {
      BackendState backend = partition.at(first + k);
      if (mayRunAt(backend, request)
          && balancer.slowStart.bears(backend, request.cost(), partition.size())) {
        return backend;
      }
    }
    return null;
  }

  /** Rule two: no effect twice. Nor is a retry sent to the backend of the last attempt. */
  private boolean mayRunAt(BackendState backend, OpenRequest request) {
    return backend != request.lastBackend() && request.mayRepeatAt(backend);
  }
}
