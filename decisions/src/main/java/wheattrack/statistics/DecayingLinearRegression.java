package wheattrack.statistics;

/**
 * A straight line through weighted points, by running means and moments. Once the summed weight has
 * reached a bound, new points push old ones out exponentially. Not thread-safe.
 */
public final class DecayingLinearRegression {
  private static final double TINY = 1e-9;

  private final double maxWeight;
  private double weight;
  private double meanX;
  private double meanY;
  private double varianceX;
  private double covariance;

  /** Creates a regression without points; maxWeight is how much weight of points it remembers. */
  public DecayingLinearRegression(double maxWeight) {
    this.maxWeight = maxWeight;
  }

  /** Adds a point of this weight. */
  public void add(double x, double y, double pointWeight) {
    weight = Math.min(maxWeight, weight + pointWeight);
    double step = pointWeight / weight;
    double dx = x - meanX;
    double dy = y - meanY;
    meanX += step * dx;
    meanY += step * dy;
    varianceX += step * ((1 - step) * dx * dx - varianceX);
    covariance += step * ((1 - step) * dx * dy - covariance);
  }

  /** Moves all points so far along x. */
  public void shift(double dx) {
    meanX += dx;
  }

  /** Whether a point lies above the line; false while there are no points. */
  public boolean isAbove(double x, double y) {
    return weight > 0 && y - meanY > covariance / (varianceX + TINY) * (x - meanX);
  }

  /** The slope, drawn towards a prior slope that counts as so much weight of points. */
  public double slope(double priorWeight, double priorSlope) {
    double pull = priorWeight / Math.max(TINY, weight);
    return (covariance + pull * priorSlope) / (varianceX + pull);
  }
}
