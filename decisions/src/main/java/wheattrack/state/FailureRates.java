package wheattrack.state;

import java.util.Arrays;

/** The health of backends, by their failure rates relative to the median. Not thread-safe. */
public final class FailureRates {
  /** The lowest health, also of an ejected backend, which needs a small share to recover. */
  public static final double MIN_HEALTH = 0.02;

  /** Health is 1 less the failure rate in excess of the median, to this power. */
  private static final double HEALTH_EXPONENT = 6;

  private double medianRate;

  /** Sets the median failure rate to that of these backends. */
  public void updateMedian(BackendState[] backends) {
    double[] rates = Arrays.stream(backends).mapToDouble(BackendState::failureRate).toArray();
    Arrays.sort(rates);
    medianRate = rates.length == 0 ? 0 : rates[rates.length / 2];
  }

  /** The health: 1 for a failure rate up to the median, at least {@link #MIN_HEALTH}. */
  public double healthOf(BackendState backend) {
    if (backend.isEjected()) {
      return MIN_HEALTH;
    }
    double excess = Math.max(0, backend.failureRate() - medianRate);
    return Math.max(MIN_HEALTH, Math.pow(1 - excess, HEALTH_EXPONENT));
  }

  /** Whether a backend has the lowest health. */
  public boolean isFailing(BackendState backend) {
    return healthOf(backend) <= MIN_HEALTH;
  }
}
