package wheattrack.state;

import wheattrack.api.PolicySettings;

/**
 * This proxy's share of the total traffic, and how long idle connections are worth keeping. Not
 * thread-safe.
 */
public final class TrafficShare {
  /** Seconds over which the own traffic is averaged. */
  private static final int AVERAGED_SECONDS = 20;

  /** Number of backends to which the price of an open connection refers. */
  private static final int PRICED_BACKENDS = 100;

  private final int proxyCount;
  private double totalQuota;
  private double ownRate;
  private double idleTimePerRate;
  private long requests;
  private long requestsAtLastFold;
  private long seconds = 1;
  private long idleConnectionTime;

  TrafficShare(int proxyCount) {
    this.proxyCount = proxyCount;
  }

  /** Applies settings; a measured rate is kept. */
  void configure(PolicySettings.Traffic settings) {
    totalQuota = settings.totalQuota();
    ownRate = seconds > 1 ? ownRate : totalQuota / proxyCount;
    double price = settings.connectionPrice();
    idleTimePerRate =
        price > 0 ? PRICED_BACKENDS * Ticks.SECOND * settings.handshakePrice() / price : 0;
  }

  /** Counts an accepted request, and returns the number accepted so far. */
  long countRequest() {
    return ++requests;
  }

  /** Requests accepted since the start. */
  public long requests() {
    return requests;
  }

  /** Updates this proxy's rate with the last second. */
  void foldSecond() {
    ownRate += (requests - requestsAtLastFold - ownRate) / Math.min(AVERAGED_SECONDS, ++seconds);
    requestsAtLastFold = requests;
  }

  /** This proxy's share of the total traffic, at least an equal share. */
  public double ownShare() {
    return Math.max(1.0 / proxyCount, totalQuota > 0 ? ownRate / totalQuota : 0);
  }

  /** Sets the number of ready backends, over which idle connections are spread. */
  public void setReadyBackends(int count) {
    idleConnectionTime =
        idleTimePerRate > 0 && totalQuota > 0
            ? (long) (idleTimePerRate * count / totalQuota)
            : Long.MAX_VALUE;
  }

  /** How long an idle connection is worth keeping, in ticks. */
  public long idleConnectionTime() {
    return idleConnectionTime;
  }

  /** Expected number of idle connections at the present rate, if each request opens one. */
  public double idleConnections() {
    return ownRate * idleConnectionTime / Ticks.SECOND;
  }
}
