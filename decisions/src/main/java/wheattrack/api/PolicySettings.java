package wheattrack.api;

/**
 * All settings that the policy acts on. Times are in tenths of a millisecond.
 *
 * @param attempts limits on the attempts of a request
 * @param zones this proxy's zone, and the price of sending requests to other zones
 * @param slowStart what may be sent to backends that have just started
 * @param loadReports whether backends report their load
 * @param traffic the total traffic of all proxies, and the prices of connections
 */
public record PolicySettings(
    AttemptLimits attempts,
    Zones zones,
    SlowStartLimits slowStart,
    LoadReports loadReports,
    Traffic traffic) {

  /** Settings that allow one attempt, without slow start, zones, load reports or prices. */
  public static final PolicySettings DEFAULTS =
      new PolicySettings(
          new AttemptLimits(1, false, false, 0),
          new Zones(0, 0),
          new SlowStartLimits(1, 0, 1, 0),
          new LoadReports(false, false),
          new Traffic(0, 0, 0));

  /**
   * Limits on the attempts of a request.
   *
   * @param maxAttempts the most attempts that a request may have, the first included
   * @param mayCancel whether attempts in flight may be cancelled
   * @param mayHedge whether a second attempt may be sent while the first is in flight
   * @param maxRetryAfter the longest wait that a rejected client may be advised; 0: no advice
   */
  public record AttemptLimits(
      int maxAttempts, boolean mayCancel, boolean mayHedge, long maxRetryAfter) {}

  /**
   * This proxy's zone, and the price of sending requests to other zones.
   *
   * @param own the index of this proxy's zone
   * @param crossingPrice price of sending one request to another zone, relative to the value of a
   *     mean request
   */
  public record Zones(int own, double crossingPrice) {}

  /**
   * What may be sent to backends that have just started.
   *
   * @param initialCapacity share of its full capacity that a backend has when it starts
   * @param warmUpTime how long it takes to reach its full capacity
   * @param overloadMultiple the load that a backend withstands for a limited time, as a multiple of
   *     its present capacity
   * @param overloadTime for how long it withstands that load
   */
  public record SlowStartLimits(
      double initialCapacity, long warmUpTime, double overloadMultiple, long overloadTime) {}

  /**
   * Whether and how backends report their load.
   *
   * @param expected whether backends report their load
   * @param probed whether they do so only when probed
   */
  public record LoadReports(boolean expected, boolean probed) {
    /** Whether backends must be probed for their load before a request's first attempt. */
    public boolean mustBeProbed() {
      return expected && probed;
    }
  }

  /**
   * The total traffic, and the prices of connections, of which only the ratio counts.
   *
   * @param totalQuota sum of all tenants' quotas, in requests per second over all proxies; 0: not
   *     known
   * @param connectionPrice price of keeping connections open
   * @param handshakePrice price of opening one connection
   */
  public record Traffic(double totalQuota, double connectionPrice, double handshakePrice) {}

  /** These settings with other limits on attempts. */
  public PolicySettings withAttempts(AttemptLimits other) {
    return new PolicySettings(other, zones, slowStart, loadReports, traffic);
  }

  /** These settings with another slow start. */
  public PolicySettings withSlowStart(SlowStartLimits other) {
    return new PolicySettings(attempts, zones, other, loadReports, traffic);
  }

  /** These settings with other load reports. */
  public PolicySettings withLoadReports(LoadReports other) {
    return new PolicySettings(attempts, zones, slowStart, other, traffic);
  }

  /** These settings with other traffic. */
  public PolicySettings withTraffic(Traffic other) {
    return new PolicySettings(attempts, zones, slowStart, loadReports, other);
  }
}
