package wheattrack.state;

/** Totals over this proxy's attempts in flight at all backends. Not thread-safe. */
public final class InFlightTotals {
  private int attempts;
  private double cost;
  private long lastSentAt;

  /** The number of attempts in flight. */
  public int attempts() {
    return attempts;
  }

  /** The summed cost of the attempts in flight. */
  public double cost() {
    return cost;
  }

  /** Whether nothing is in flight and nothing was sent for this duration, in ticks. */
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
