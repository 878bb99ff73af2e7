package wheattrack.policy;

import wheattrack.state.BackendState;
import wheattrack.state.OpenRequest;
import wheattrack.state.PolicyState;

/**
 * Chooses the backend of an attempt: the one whose interval holds the request's hint, or the next
 * in id order that is better placed.
 */
final class BackendSelector {
  /**
   * How well a backend suits a request, best first. CROWDED: it has more than its share in flight.
   * OTHER_ZONE: the request isn't worth the price. TOO_LATE: it would miss its time there, or the
   * backend is idle for its errors. OVERLOADED: the wait there is too long to be admitted.
   */
  private enum Preference {
    GOOD,
    CROWDED,
    OTHER_ZONE,
    TOO_LATE,
    OVERLOADED
  }

  // a request's backends are looked for among so many: no cost grows with the fleet
  private static final int MAX_CANDIDATES = 16;
  // a crossing pays for requests worth this many times its price
  private static final double CROSSING_WORTH = 3;

  private final PolicyState state;
  private final EquiloadBalancer balancer;
  private final IntervalPartition partition;

  BackendSelector(EquiloadBalancer balancer) {
    this.balancer = balancer;
    state = balancer.state;
    partition = balancer.partition;
  }

  /** The ejected backend that a request is to probe, or null. */
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

  /** The backend for the next attempt, or null; first: the place of the request's interval. */
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
          || preference == bestPreference && comparesTimes && finish < soonest) {
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
    // one that is idle for its errors is no refuge
    if (finish > timeLeft || !own && state.failureRates().isFailing(backend)) {
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
        1.2 * state.inFlight().cost() * backend.share() / partition.totalShare() + meanCost / 4;
    return !state.reportedLoad().isFresh(backend, state.now()) && backend.inFlightCost() > fairCost;
  }

  /** The others are warming up: one that is ejected may be well again. */
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

  /** Rule two: no second effect. Nor does a retry go where the last attempt went. */
  private boolean mayRunAt(BackendState backend, OpenRequest request) {
    return backend != request.lastBackend() && request.mayRepeatAt(backend);
  }
}
