package wheattrack.statistics;

/** A straight line through weighted points, with a memory of so much weight. */
public final class DecayingLinearRegression {
  private static final double TINY = 1e-9;

  private final double memory;
  private double weight;
  private double meanX;
  private double meanY;
  private double spread;
  private double slope;

  public DecayingLinearRegression(double memory) {
    this.memory = memory;
  }

  public void add(double x, double y, double counts) {
    weight = Math.min(memory, weight + counts);
    double step = counts / weight;
    double dx = x - meanX;
    double dy = y - meanY;
    meanX += step * dx;
    meanY += step * dy;
    spread += step * ((1 - step) * dx * dx - spread);
    slope += step * ((1 - step) * dx * dy - slope);
  }

  /** All points so far as if they stood so much further on. */
  public void shift(double dx) {
    meanX += dx;
  }

  /** Whether a point lies above the line. */
  public boolean isAbove(double x, double y) {
    return weight > 0 && y - meanY > slope / (spread + TINY) * (x - meanX);
  }

  /** The slope beside so much weight of points that believe in another. */
  public double slope(double believers, double other) {
    double doubt = believers / Math.max(TINY, weight);
    return (slope + doubt * other) / (spread + doubt);
  }
}
