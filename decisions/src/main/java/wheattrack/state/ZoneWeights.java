package wheattrack.state;

/**
 * The weight of backends in other zones relative to those in this proxy's zone. It starts from the
 * price of crossing zones and adapts to the share of requests that miss their objective. Not
 * thread-safe.
 */
public final class ZoneWeights {
  /** Lower bound of the weight, which could not grow again from 0. */
  private static final double MIN_WEIGHT = 0.02;

  /** Factor applied to the weight in each second in which it is lowered. */
  private static final double SHRINK_PER_SECOND = 0.9;

  /**
   * Relative growth of the weight in a second, per share of requests that missed their objective.
   */
  private static final double GROWTH_PER_MISSED_SHARE = 5;

  /** The weight grows while the missed share is at least the crossing price divided by this. */
  private static final int CROSSING_PRICE_DIVISOR = 4;

  /** Number of requests whose crossing price reduces the initial weight. */
  private static final double PRICED_REQUESTS = 100;

  private int ownZone;
  private double crossingPrice;
  private double otherZonesWeight = 1;

  /** Applies settings, and resets the weight to its initial value. */
  void configure(int zone, double price) {
    ownZone = zone;
    crossingPrice = price;
    otherZonesWeight = 1 / (1 + PRICED_REQUESTS * price);
  }

  /**
   * Raises the weight of other zones if many requests miss their objective, else lowers it; must be
   * called once a second.
   */
  void adapt(double missedShare) {
    boolean crossingPays = missedShare >= crossingPrice / CROSSING_PRICE_DIVISOR;
    double change = crossingPays ? 1 + GROWTH_PER_MISSED_SHARE * missedShare : SHRINK_PER_SECOND;
    otherZonesWeight = Math.min(1, Math.max(MIN_WEIGHT, otherZonesWeight * change));
  }

  /** Whether a backend is in this proxy's zone. */
  public boolean isOwnZone(BackendState backend) {
    return backend.zone() == ownZone;
  }

  /** The weight of a backend: 1 in this proxy's zone, at most 1 in others. */
  public double of(BackendState backend) {
    return isOwnZone(backend) ? 1 : otherZonesWeight;
  }
}
