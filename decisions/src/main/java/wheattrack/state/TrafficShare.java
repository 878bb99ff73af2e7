package wheattrack.state;

import wheattrack.api.PolicySettings;

/**
 * This proxy's share of the total traffic, and for how long it pays to keep idle connections. Not
 * thread-safe.
 */
public final class TrafficShare {
  /** Seconds over which this proxy's traffic is averaged. */
  private static final int AVERAGED_SECONDS = 20;

  /** Number of backends to which the price of an open connection refers. */
  private static final int PRICED_BACKENDS = 100;

  private final int proxyCount;
  private double totalQuota;
  private double ownRate;
  private double idleTimePerRate;
  private long requests;
  private long requestsAtLastUpdate;
  private long seconds = 1;
  private long idleConnectionTimeout;

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

  /** Updates this proxy's rate with the last second; must be called once a second. */
  void updateRate() {
    ownRate += (requests - requestsAtLastUpdate - ownRate) / Math.min(AVERAGED_SECONDS, ++seconds);
    requestsAtLastUpdate = requests;
  }

  /** This proxy's share of the total traffic, at least an equal share. */
  public double ownShare() {
    return Math.max(1.0 / proxyCount, totalQuota > 0 ? ownRate / totalQuota : 0);
  }

  /** Sets the number of ready backends, over which idle connections are spread. */
  public void setReadyBackends(int count) {
    idleConnectionTimeout =
        idleTimePerRate > 0 && totalQuota > 0
            ? (long) (idleTimePerRate * count / totalQuota)
            : Long.MAX_VALUE;
  }

  /** How long an idle connection is kept open, in ticks. */
  public long idleConnectionTimeout() {
    return idleConnectionTimeout;
  }

  /** Expected number of idle connections at the present rate, if each request opens one. */
  public double expectedIdleConnections() {
    return ownRate * idleConnectionTimeout / Ticks.SECOND;
  }
}
