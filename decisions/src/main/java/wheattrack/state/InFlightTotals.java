package wheattrack.state;

/** This proxy's attempts in flight at all backends together. Not thread-safe. */
public final class InFlightTotals {
  private int attempts;
  private double cost;
  private long lastSentAt;

  /** Attempts in flight. */
  public int attempts() {
    return attempts;
  }

  /** Their cost. */
  public double cost() {
    return cost;
  }

  /** Whether nothing is in flight, and nothing was sent for this long. */
  public boolean isIdle(long now, long duration) {
    return attempts == 0 && now - lastSentAt >= duration;
  }

  void attemptStarted(double attemptCost, long now) {
    attempts++;
    lastSentAt = now;
    cost += attemptCost;
  }

  void attemptEnded(double attemptCost) {
    attempts--;
    cost -= attemptCost;
  }

  void scaleCosts(double factor) {
    cost *= factor;
  }
}
