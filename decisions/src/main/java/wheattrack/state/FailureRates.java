package wheattrack.state;

import java.util.Arrays;

/** Backends' failure rates against the usual one among them. Not thread-safe. */
public final class FailureRates {
  /** The least health of any backend, and that of an ejected one: its share is its way back. */
  public static final double MIN_HEALTH = 0.02;

  private double usual;

  /** Takes the median failure rate of these backends for the usual one. */
  public void compareAmong(BackendState[] backends) {
    double[] rates = Arrays.stream(backends).mapToDouble(BackendState::failureRate).toArray();
    Arrays.sort(rates);
    usual = rates.length == 0 ? 0 : rates[rates.length / 2];
  }

  /** From 1 for a backend that fails no more than usual, down to {@link #MIN_HEALTH}. */
  public double healthOf(BackendState backend) {
    if (backend.isEjected()) {
      return MIN_HEALTH;
    }
    double excess = Math.max(0, backend.failureRate() - usual);
    return Math.max(MIN_HEALTH, Math.pow(1 - excess, 6));
  }

  /** Whether a backend is at the least health. */
  public boolean isFailing(BackendState backend) {
    return healthOf(backend) <= MIN_HEALTH;
  }
}
