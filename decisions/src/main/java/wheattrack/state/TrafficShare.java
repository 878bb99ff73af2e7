package wheattrack.state;

import wheattrack.api.PolicySettings;

/**
 * This proxy's share of the total traffic, and how long idle connections are worth keeping. Not
 * thread-safe.
 */
public final class TrafficShare {
  /** Seconds over which the own traffic is averaged. */
  private static final int AVERAGED_SECONDS = 20;

  /** Backends at which the price of an open connection is reckoned. */
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

  /** Takes new settings into use; a rate that was measured is kept. */
  void configure(PolicySettings.Traffic settings) {
    totalQuota = settings.totalQuota();
    ownRate = seconds > 1 ? ownRate : totalQuota / proxyCount;
    double price = settings.connectionPrice();
    idleTimePerRate =
        price > 0 ? PRICED_BACKENDS * Ticks.SECOND * settings.handshakePrice() / price : 0;
  }

  /** Counts a request; returns how many were accepted by now. */
  long countRequest() {
    return ++requests;
  }

  /** Requests accepted since the start. */
  public long requests() {
    return requests;
  }

  /** Folds the last second into the own rate. */
  void foldSecond() {
    ownRate += (requests - requestsAtLastFold - ownRate) / Math.min(AVERAGED_SECONDS, ++seconds);
    requestsAtLastFold = requests;
  }

  /** This proxy's part of the traffic of all, an equal one at least. */
  public double ownShare() {
    return Math.max(1.0 / proxyCount, totalQuota > 0 ? ownRate / totalQuota : 0);
  }

  /** Sets how many backends are ready, over which idle connections are spread. */
  public void setReadyBackends(int count) {
    idleConnectionTime =
        idleTimePerRate > 0 && totalQuota > 0
            ? (long) (idleTimePerRate * count / totalQuota)
            : Long.MAX_VALUE;
  }

  /** How long an idle connection is worth its price. */
  public long idleConnectionTime() {
    return idleConnectionTime;
  }

  /** Connections that idle at this rate of traffic, if each request opens one. */
  public double idleConnections() {
    return ownRate * idleConnectionTime / Ticks.SECOND;
  }
}
