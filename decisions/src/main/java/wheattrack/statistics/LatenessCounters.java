package wheattrack.statistics;

/** Counts of late, fading. */
public final class LatenessCounters {
  /** All reqs that came, and those not done within their target. */
  public double came;

  public double missed;

  /** Those sent at least once, and of them those not done within their target. */
  public double sent;

  public double sentLate;

  /** Cost done, and the time that all ended dispatches took. */
  public double cost;

  public double time;

  public void closed(boolean wasSent, boolean good) {
    int bad = good ? 0 : 1;
    missed += bad;
    sent += wasSent ? 1 : 0;
    sentLate += wasSent ? bad : 0;
  }

  public void fade(double keep) {
    came *= keep;
    missed *= keep;
    sent *= keep;
    sentLate *= keep;
    cost *= keep;
    time *= keep;
  }
}
