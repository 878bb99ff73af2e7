package wheattrack.statistics;

/** Decaying counts of requests and of how many missed their latency objective. Not thread-safe. */
public final class LatenessCounters {
  private double arrived;
  private double missed;
  private double sent;
  private double sentAndMissed;
  private double costDone;
  private double attemptTime;

  /** A request has been accepted. */
  public void countArrival() {
    arrived++;
  }

  /**
   * A request has ended.
   *
   * @param wasSent whether it had any attempt
   * @param inTime whether it was answered within its objective
   */
  public void countEnd(boolean wasSent, boolean inTime) {
    int late = inTime ? 0 : 1;
    missed += late;
    sent += wasSent ? 1 : 0;
    sentAndMissed += wasSent ? late : 0;
  }

  /** An attempt has ended after this time, in ticks. */
  public void addAttemptTime(long time) {
    attemptTime += time;
  }

  /** An attempt of this cost has been answered. */
  public void addCostDone(double cost) {
    costDone += cost;
  }

  /** Decayed number of requests accepted. */
  public double arrived() {
    return arrived;
  }

  /** Share of all requests that missed their objective; 0 where there are none. */
  public double missedShare() {
    return arrived > 0 ? missed / arrived : 0;
  }

  /** Requests sent and late, beyond a tolerated share of those sent, as a share of all accepted. */
  public double excessLateShare(double toleratedShare) {
    return (sentAndMissed - toleratedShare * sent) / (arrived + 2);
  }

  /** Decayed cost of answered attempts. */
  public double costDone() {
    return costDone;
  }

  /** Decayed sum of the durations of ended attempts, in ticks. */
  public double attemptTime() {
    return attemptTime;
  }

  /** The unit of costs has changed. */
  public void scaleCosts(double factor) {
    costDone *= factor;
  }

  /** Multiplies all sums by a decay factor. */
  public void decay(double keep) {
    arrived *= keep;
    missed *= keep;
    sent *= keep;
    sentAndMissed *= keep;
    costDone *= keep;
    attemptTime *= keep;
  }
}
