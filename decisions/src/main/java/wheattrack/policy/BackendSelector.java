package wheattrack.policy;

import wheattrack.state.BackendState;
import wheattrack.state.OpenRequest;
import wheattrack.state.PolicyState;

/**
 * Selects the backend of an attempt: the one whose interval contains the request's cost hint if it
 * suits, else the best of the backends that follow it in id order.
 */
final class BackendSelector {
  /**
   * How well a backend suits a request, best first. CROWDED: its report shows a queue, it has more
   * than its share of the cost in flight, or little time would be left. OTHER_ZONE: the value of
   * the request does not justify the price of crossing zones. TOO_LATE: the request would miss its
   * objective, or the backend is failing and its interval is another one. OVERLOADED: the wait is
   * too long for admission.
   */
  private enum Preference {
    GOOD,
    CROWDED,
    OTHER_ZONE,
    TOO_LATE,
    OVERLOADED
  }

  /** Bounds the work per request, whatever the number of backends. */
  private static final int MAX_CANDIDATES = 16;

  /** A request may cross zones if its value is at least this many times the crossing price. */
  private static final double MIN_VALUE_PER_CROSSING_PRICE = 3;

  /** Multiple of its share of the cost in flight that a backend may have and not be crowded. */
  private static final double FAIR_SHARE_TOLERANCE = 1.2;

  /** The mean cost divided by this is the cost ahead that a backend may have in any case. */
  private static final int TOLERATED_COST_DIVISOR = 4;

  private final PolicyState state;
  private final EquiloadBalancer balancer;
  private final IntervalPartition partition;

  BackendSelector(EquiloadBalancer balancer) {
    this.balancer = balancer;
    state = balancer.state;
    partition = balancer.partition;
  }

  /** The ejected backend that the request is to be sent to as a probe, or null. */
  BackendState selectForProbe(OpenRequest request) {
    if (!balancer.outliers.mayProbe(request)) {
      return null;
    }
    for (BackendState backend : partition.backends()) {
      if (balancer.outliers.isProbeDue(backend)
          && balancer.slowStart.permits(backend, request.cost(), partition.size())) {
        balancer.outliers.onProbeRequest(backend);
        return backend;
      }
    }
    return null;
  }

  /**
   * Selects the backend for the next attempt.
   *
   * @param firstPosition position of the request's interval in the partition
   * @return the backend, or null if there is none to which the request may be sent now
   */
  BackendState select(OpenRequest request, int firstPosition) {
    BackendState best = selectByPreference(request, firstPosition);
    return best == null && state.isIdle() ? selectLastResort(request, firstPosition) : best;
  }

  private BackendState selectByPreference(OpenRequest request, int firstPosition) {
    BackendState best = null;
    Preference bestPreference = null;
    double earliestFinish = 0;
    int candidates = 0;
    for (int offset = 0; offset < partition.size() && candidates < MAX_CANDIDATES; offset++) {
      BackendState backend = partition.at(firstPosition + offset);
      boolean ownInterval = offset == 0;
      if (!isCandidate(backend, request, ownInterval)) {
        continue;
      }
      candidates++;
      // with an exponent below 1 the cost of a heavy request is less than its hint
      double cautiousCost = Math.max(request.cost(), request.request().costHint());
      double finish = state.waits().timeToFinish(backend, cautiousCost);
      Preference preference = preferenceOf(backend, request, ownInterval, finish);
      if (preference == Preference.GOOD) {
        return backend;
      }
      boolean comparesTimes =
          preference.compareTo(Preference.TOO_LATE) >= 0 || state.reportedLoad().isExpected();
      if (best == null
          || preference.compareTo(bestPreference) < 0
          || (preference == bestPreference && comparesTimes && finish < earliestFinish)) {
        best = backend;
        bestPreference = preference;
        earliestFinish = finish;
      }
    }
    return best;
  }

  private boolean isCandidate(BackendState backend, OpenRequest request, boolean ownInterval) {
    boolean allEjected = balancer.outliers.ejectedCount() >= partition.size();
    boolean nonIdempotent = request.requestClass().isNonIdempotent();
    return backend.isReady()
        && (!backend.isEjected() || allEjected)
        && mayRunAt(backend, request)
        && balancer.slowStart.permits(backend, request.cost(), partition.size())
        && backend.inFlight() < Math.max(1, backend.capacity())
        && (ownInterval || !nonIdempotent || !state.failureRates().isFailing(backend));
  }

  private Preference preferenceOf(
      BackendState backend, OpenRequest request, boolean ownInterval, double finish) {
    long timeLeft = request.timeLeft(state.now());
    if (!balancer.admission.admits(backend, timeLeft)) {
      return Preference.OVERLOADED;
    }
    // a backend that fails fast is mostly idle, and would attract the requests of other intervals
    if (finish > timeLeft || (!ownInterval && state.failureRates().isFailing(backend))) {
      return Preference.TOO_LATE;
    }
    if (!state.zoneWeights().isOwnZone(backend) && !justifiesZoneCrossing(request)) {
      return Preference.OTHER_ZONE;
    }
    double hintTime = request.request().costHint() / state.throughput().costPerTick(backend);
    boolean littleTimeLeft = finish + hintTime > timeLeft;
    return littleTimeLeft || isCrowded(backend) ? Preference.CROWDED : Preference.GOOD;
  }

  private boolean justifiesZoneCrossing(OpenRequest request) {
    double price = state.settings().zones().crossingPrice();
    return !state.reportedLoad().isExpected()
        && request.value() >= MIN_VALUE_PER_CROSSING_PRICE * price * state.meanValue();
  }

  private boolean isCrowded(BackendState backend) {
    double meanCost = state.costs().meanCost();
    double toleratedCost = meanCost / TOLERATED_COST_DIVISOR;
    if (backend.reportedAt() > 0
        && state.reportedLoad().costAhead(backend, meanCost) > toleratedCost) {
      return true;
    }
    double fairCost =
        FAIR_SHARE_TOLERANCE * state.inFlight().cost() * backend.share() / partition.totalShare()
            + toleratedCost;
    return !state.reportedLoad().isFresh(backend, state.now()) && backend.inFlightCost() > fairCost;
  }

  /**
   * The first backend to which the request may be sent, even if it is ejected: when all others are
   * warming up or ejected, it may have recovered.
   */
  private BackendState selectLastResort(OpenRequest request, int firstPosition) {
    for (int offset = 0; offset < partition.size(); offset++) {
      BackendState backend = partition.at(firstPosition + offset);
      if (mayRunAt(backend, request)
          && balancer.slowStart.permits(backend, request.cost(), partition.size())) {
        return backend;
      }
    }
    return null;
  }

  /**
   * Whether the request may be sent to a backend: it must have no second effect there, and a retry
   * does not go to the backend of the last attempt.
   */
  private boolean mayRunAt(BackendState backend, OpenRequest request) {
    return backend != request.lastBackend() && request.mayRepeatAt(backend);
  }
}
