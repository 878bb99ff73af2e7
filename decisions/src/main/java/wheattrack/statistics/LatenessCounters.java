package wheattrack.statistics;

/**
 * Decaying counts of requests and of how many missed their latency objective, and decaying sums of
 * the cost and the duration of attempts. Not thread-safe.
 */
public final class LatenessCounters {
  /** Added to the requests accepted, so that a share of very few of them stays small. */
  private static final int EXTRA_REQUESTS = 2;

  private double arrived;
  private double missed;
  private double sent;
  private double sentAndMissed;
  private double costDone;
  private double attemptTime;

  /** Counts a request that was accepted. */
  public void countArrival() {
    arrived++;
  }

  /**
   * Counts a request that has ended.
   *
   * @param wasSent whether any attempt of it was sent
   * @param inTime whether it was answered within its latency objective
   */
  public void countEnd(boolean wasSent, boolean inTime) {
    int late = inTime ? 0 : 1;
    missed += late;
    sent += wasSent ? 1 : 0;
    sentAndMissed += wasSent ? late : 0;
  }

  /** Adds the duration of an attempt that has ended, in ticks. */
  public void addAttemptTime(long time) {
    attemptTime += time;
  }

  /** Adds the cost of an attempt that was answered. */
  public void addCostDone(double cost) {
    costDone += cost;
  }

  /** Decayed number of requests accepted. */
  public double arrived() {
    return arrived;
  }

  /** Requests that missed their objective, as a share of all accepted; 0 if none was accepted. */
  public double missedShare() {
    return arrived > 0 ? missed / arrived : 0;
  }

  /**
   * The number of requests that were sent and missed their objective, less the tolerated number, as
   * a share of all accepted; negative if fewer are late than tolerated.
   *
   * @param toleratedShare the share of the requests sent that may be late
   */
  public double excessLateShare(double toleratedShare) {
    return (sentAndMissed - toleratedShare * sent) / (arrived + EXTRA_REQUESTS);
  }

  /** Decayed cost of answered attempts. */
  public double costDone() {
    return costDone;
  }

  /** Decayed sum of the durations of ended attempts, in ticks. */
  public double attemptTime() {
    return attemptTime;
  }

  /** Multiplies the summed cost by a factor, as the unit of costs has changed. */
  public void scaleCosts(double factor) {
    costDone *= factor;
  }

  /** Multiplies all counts and sums by a decay factor. */
  public void decay(double factor) {
    arrived *= factor;
    missed *= factor;
    sent *= factor;
    sentAndMissed *= factor;
    costDone *= factor;
    attemptTime *= factor;
  }
}
