package wheattrack.state;

/**
 * How much backends of other zones count against those of the own: by the price of sending there
 * until it shows whether requests miss their objective. Not thread-safe.
 */
public final class ZoneFactor {
  private static final double MIN_FACTOR = 0.02;
  private static final double SHRINK_PER_SECOND = 0.9;
  private static final double GROWTH_BY_MISSES = 5;

  /** Requests to a backend by which the crossing price is reckoned at first. */
  private static final double PRICED_REQUESTS = 100;

  private int ownZone;
  private double crossingPrice;
  private double otherZones = 1;

  /** Takes new settings into use, and forgets what was learnt under the old price. */
  void configure(int zone, double price) {
    ownZone = zone;
    crossingPrice = price;
    otherZones = 1 / (1 + PRICED_REQUESTS * price);
  }

  /** Other zones count for more while many requests miss their objective, else for less. */
  void foldSecond(double missedShare) {
    boolean worthCrossing = missedShare >= crossingPrice / 4;
    double change = worthCrossing ? 1 + GROWTH_BY_MISSES * missedShare : SHRINK_PER_SECOND;
    otherZones = Math.min(1, Math.max(MIN_FACTOR, otherZones * change));
  }

  /** Whether a backend is in this proxy's zone. */
  public boolean isOwn(BackendState backend) {
    return backend.zone() == ownZone;
  }

  /** 1 for a backend of the own zone, and less for others. */
  public double of(BackendState backend) {
    return isOwn(backend) ? 1 : otherZones;
  }
}
