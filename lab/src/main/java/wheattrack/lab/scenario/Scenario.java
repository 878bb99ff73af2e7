package wheattrack.lab.scenario;

import java.util.List;
import wheattrack.api.RequestClass;
import wheattrack.lab.referee.ColdBudget;

/**
 * One scenario: a deployment, its load, a timeline of faults and what is expected of the run.
 * Immutable; {@link ScenarioReader} reads and checks it. Times are tenths of a millisecond unless
 * said otherwise.
 *
 * @param name the name that the RESULT line shows
 * @param description what the scenario is about, possibly empty
 * @param isVirtual whether it runs on the virtual clock; otherwise on sockets in real time
 * @param duration how long clients go on to send new requests
 * @param proxyCount the number of proxies
 * @param zoneCount the number of zones, over which proxies and backends are spread in turn
 * @param backendGroups the backends, by kind
 * @param workloads the request classes with what clients send of each
 * @param frontNotice how long the clients' front load balancer takes to notice that a proxy is dead
 * @param terms what the referee judges by
 * @param limits what the proxies' policy may do
 */
public record Scenario(
    String name,
    String description,
    boolean isVirtual,
    long duration,
    int proxyCount,
    int zoneCount,
    List<BackendGroup> backendGroups,
    List<Workload> workloads,
    Load load,
    Hints hints,
    Clients clients,
    long frontNotice,
    Discovery discovery,
    Network network,
    Terms terms,
    AttemptLimits limits,
    List<Fault> faults,
    List<Window> windows,
    List<Expectation> expectations) {
  /** Tenths of a millisecond in a second. */
  public static final long SECOND = 10_000;

  /** Tenths of a millisecond in a millisecond. */
  public static final long MILLISECOND = 10;

  /** Microseconds in a tenth of a millisecond. */
  public static final long MICROSECONDS_PER_UNIT = 100;

  /** Backends of consecutive indexes that share a cell (pod group). */
  private static final int BACKENDS_PER_CELL = 4;

  /**
   * A number of equal backends.
   *
   * @param kind the name of their kind
   * @param count how many there are
   * @param cores requests that each one processes at once
   * @param speed work done by a core in a unit of time
   * @param queueCapacity requests that may wait at one
   * @param coldSpeed the part of its speed that one has right after a cold start
   * @param coldDuration how long it takes until it has its full speed
   * @param maxConnections open connections that one accepts
   * @param handshakeWork work of a new connection, in tenths of a millisecond at speed 1
   */
  public record BackendGroup(
      String kind,
      int count,
      int cores,
      double speed,
      int queueCapacity,
      double coldSpeed,
      long coldDuration,
      int maxConnections,
      double handshakeWork) {
    /** The part of its full speed, up to 1, that a backend has this long after a cold start. */
    public double speedFactorAt(long age) {
      return age >= coldDuration ? 1 : coldSpeed + (1 - coldSpeed) * age / coldDuration;
    }
  }

  /**
   * A request class with what clients send of it.
   *
   * @param share its weight among all workloads
   * @param meanWork mean work of a request, in tenths of a millisecond at speed 1
   * @param coefficientOfVariation standard deviation of the work over its mean
   * @param heavyTail whether the work has a Pareto tail; otherwise it is lognormal
   */
  public record Workload(
      String name,
      double share,
      double meanWork,
      double coefficientOfVariation,
      boolean heavyTail,
      RequestClass requestClass) {}

  /**
   * How requests arrive.
   *
   * @param rate mean rate, requests a second from all clients
   * @param swing how far the rate departs from its mean, as a part of it
   * @param period the period of a wave, or of bursts on the mean
   * @param trace the rate of each second in turn, for {@link Shape#TRACE}
   */
  public record Load(Shape shape, double rate, double swing, long period, double[] trace) {
    /**
     * The course of the rate: POISSON has independent arrivals, EVEN equal gaps, BURSTY is on and
     * off, WAVE a sine, TRACE as recorded.
     */
    public enum Shape {
      POISSON,
      EVEN,
      BURSTY,
      WAVE,
      TRACE
    }
  }

  /**
   * The cost hints of requests.
   *
   * @param share the share of requests that carry one
   * @param noise the standard deviation of the logarithm of a hint's error
   * @param scale the factor by which all hints are off
   */
  public record Hints(double share, double noise, double scale) {}

  /**
   * How clients behave.
   *
   * @param retries the most retries of one operation
   * @param backoff the delay before the first retry; it doubles with each further one
   * @param retryAfterShare the share of clients that follow the Retry-After of a rejection
   * @param impatientShare the share of attempts whose client disconnects before the answer
   */
  public record Clients(int retries, long backoff, double retryAfterShare, double impatientShare) {}

  /**
   * The endpoint list.
   *
   * @param delay mean time that an event takes to reach a proxy
   * @param deathNotice time until the death of a backend is noticed
   * @param entriesPerSecond entries that it can send a second, 0 for no limit
   */
  public record Discovery(long delay, long deathNotice, double entriesPerSecond) {}

  /**
   * Mean one-way delays.
   *
   * @param sameZone between a proxy and a backend of one zone
   * @param crossZone between a proxy and a backend of different zones
   * @param client between a client and a proxy
   * @param jitter the standard deviation of the logarithm of a delay
   */
  public record Network(long sameZone, long crossZone, long client, double jitter) {}

  /**
   * The terms that the referee judges by.
   *
   * @param drainGrace how long after the notice of a drain attempts may still arrive
   * @param collapseMultiple the load, over its capacity, at which a cold backend collapses
   * @param collapseWindow the window over which that load is taken
   * @param clockSlack the tolerance of comparisons between clocks
   */
  public record Terms(
      long drainGrace, double collapseMultiple, long collapseWindow, long clockSlack) {}

  /**
   * What the proxies' policy may do.
   *
   * @param maxAttempts the most attempts of one request
   * @param mayCancel whether attempts may be cancelled
   * @param mayHedge whether hedged requests may be sent
   * @param maxRetryAfter the longest Retry-After, 0 for none at all
   */
  public record AttemptLimits(
      int maxAttempts, boolean mayCancel, boolean mayHedge, long maxRetryAfter) {}

  /** A part of the run whose service is measured by itself, from one time until before another. */
  public record Window(String name, long from, long until) {}

  /** What a metric of the verdict is expected to be, such as {@code service >= 0.9}. */
  public record Expectation(String metric, Comparison comparison, double bound) {
    /** Whether a metric meets it; one that is absent (null) does not. */
    public boolean isMetBy(Double value) {
      return value != null && comparison.holds(value, bound);
    }
  }

  /** A duration in milliseconds. */
  public static double toMillis(long duration) {
    return duration / (double) MILLISECOND;
  }

  /** A duration in seconds. */
  public static double toSeconds(long duration) {
    return duration / (double) SECOND;
  }

  /** The number of the cell (pod group) that the backend of this index belongs to, from 0. */
  public static int cellOf(int backend) {
    return backend / BACKENDS_PER_CELL;
  }

  /** The number of the zone that the proxy or backend of this index belongs to, from 0. */
  public int zoneOf(int index) {
    return index % zoneCount;
  }

  /** The number of backends of all groups. */
  public int backendCount() {
    return backendGroups.stream().mapToInt(BackendGroup::count).sum();
  }

  /** The group of a backend; groups take turns, so that an id does not reveal the group. */
  public BackendGroup groupOf(int backend) {
    int remaining = backend;
    for (int round = 0; ; round++) {
      for (BackendGroup group : backendGroups) {
        if (round < group.count && remaining-- == 0) {
          return group;
        }
      }
    }
  }

  /** The kinds of backends, each once, in the order in which the scenario names them. */
  public List<String> backendKinds() {
    return backendGroups.stream().map(BackendGroup::kind).distinct().toList();
  }

  /** The work of a mean request, in tenths of a millisecond at a backend of speed 1. */
  public double meanWork() {
    double totalShare = workloads.stream().mapToDouble(Workload::share).sum();
    if (totalShare > 0) {
      return workloads.stream().mapToDouble(w -> w.share * w.meanWork).sum() / totalShare;
    }
    return workloads.stream().mapToDouble(Workload::meanWork).average().orElse(1);
  }

  /**
   * A new measure of the load that one backend sustains while it is cold, by the terms of this
   * scenario.
   */
  public ColdBudget coldBudget() {
    return new ColdBudget(terms.collapseMultiple, terms.collapseWindow, meanWork());
  }
}
