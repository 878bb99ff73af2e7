package wheattrack.api;

/**
 * All settings that the policy acts on. Times are in tenths of a millisecond.
 *
 * @param attempts limits on the attempts of a request
 * @param zones this proxy's zone and the price of leaving it
 * @param slowStart what may be sent to backends that have just started
 * @param loadReports whether backends report their load
 * @param traffic the traffic of all proxies, and prices of connections
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
   * @param maxAttempts attempts a request may have in all
   * @param mayCancel whether attempts in flight may be cancelled
   * @param mayHedge whether a second attempt may be sent while the first is in flight
   * @param maxRetryAfter the longest wait that a rejected client may be advised; 0: no advice
   */
  public record AttemptLimits(
      int maxAttempts, boolean mayCancel, boolean mayHedge, long maxRetryAfter) {}

  /**
   * Zones.
   *
   * @param own this proxy's zone
   * @param crossingPrice price of a request sent to another zone, against its own worth
   */
  public record Zones(int own, double crossingPrice) {}

  /**
   * What may be sent to backends that have just started.
   *
   * @param initialCapacity share of its capacity that a backend has at its start
   * @param warmUpTime how long it takes to have all of it
   * @param overloadMultiple how many times its present capacity a backend bears
   * @param overloadTime for how long it bears that
   */
  public record SlowStartLimits(
      double initialCapacity, long warmUpTime, double overloadMultiple, long overloadTime) {}

  /**
   * Load reports.
   *
   * @param expected whether backends report the load that they hold
   * @param probed whether they do so only when probed
   */
  public record LoadReports(boolean expected, boolean probed) {
    /** Whether a request's first attempt waits for load probes. */
    public boolean areProbedFor() {
      return expected && probed;
    }
  }

  /**
   * Traffic and connections.
   *
   * @param totalQuota requests a second of all proxies within all tenants' quotas; 0: not known
   * @param connectionPrice price of an open connection
   * @param handshakePrice price of opening one
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
