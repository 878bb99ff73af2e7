package wheattrack.statistics;

/**
 * Weighted linear regression by running means and moments. Once the summed weight has reached a
 * bound, older points decay exponentially as new ones are added. Not thread-safe.
 */
public final class DecayingLinearRegression {
  /** Keeps divisors above 0 while there are no points, or none that differ in x. */
  private static final double TINY = 1e-9;

  private final double maxWeight;
  private double weight;
  private double meanX;
  private double meanY;
  private double varianceX;
  private double covariance;

  /**
   * Creates a regression without points.
   *
   * @param maxWeight upper bound of the summed weight; the larger it is, the slower points decay
   */
  public DecayingLinearRegression(double maxWeight) {
    this.maxWeight = maxWeight;
  }

  /** Adds a point with this weight. */
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

  /** Moves all points added so far by this distance along the x axis. */
  public void shift(double dx) {
    meanX += dx;
  }

  /** Whether a point lies above the regression line; false while there are no points. */
  public boolean isAbove(double x, double y) {
    return weight > 0 && y - meanY > covariance / (varianceX + TINY) * (x - meanX);
  }

  /** The slope, shrunk towards a prior slope that has the given weight. */
  public double slope(double priorWeight, double priorSlope) {
    double relativePriorWeight = priorWeight / Math.max(TINY, weight);
    return (covariance + relativePriorWeight * priorSlope) / (varianceX + relativePriorWeight);
  }
}
