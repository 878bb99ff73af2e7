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
 * @param duration how long clients send new requests
 * @param proxyCount the number of proxies
 * @param zoneCount the number of zones, over which proxies and backends are distributed in turn
 * @param backendGroups the backends, by kind
 * @param workloads the request classes with what clients send of each
 * @param frontDetectionDelay how long the clients' front load balancer takes to detect the failure
 *     of a proxy
 * @param terms the tolerances and limits that the referee judges by
 * @param limits what the proxies' policy may do
 * @param faults the timeline of faults
 * @param windows the parts of the run whose service is measured separately
 * @param expectations the conditions on the metrics that make the run's result ok
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
    long frontDetectionDelay,
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

  /** Number of backends, of consecutive indexes, in one cell (pod group). */
  private static final int BACKENDS_PER_CELL = 4;

  /**
   * A number of equal backends.
   *
   * @param kind the name of their kind
   * @param count how many there are
   * @param cores requests that each one executes at the same time
   * @param speed work done by a core in a unit of time
   * @param queueCapacity requests that may wait at each one
   * @param coldSpeed the fraction of its speed that each one has right after a cold start
   * @param coldDuration time from a cold start to full speed
   * @param maxConnections open connections that each one accepts
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
    /**
     * The fraction of its full speed, up to 1, that a backend has at this age after a cold start.
     */
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
   * @param rate mean rate, requests per second from all clients
   * @param swing the largest increase of the rate over its mean, as a fraction of the mean
   * @param period the period of a wave, or the mean period of bursts
   * @param trace the rate of each second in turn, for {@link Shape#TRACE}
   */
  public record Load(Shape shape, double rate, double swing, long period, double[] trace) {
    /**
     * How the rate develops: POISSON has independent arrivals, EVEN has equal gaps, BURSTY
     * alternates between bursts and pauses, WAVE follows a sine, TRACE takes the rate of each
     * second from a list.
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
   * @param scale the factor by which all hints are multiplied
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
   * @param delay mean time that a change takes to reach a proxy
   * @param failureDetectionDelay time until the failure of a backend is detected
   * @param entriesPerSecond entries that discovery can send per second, 0 for no limit
   */
  public record Discovery(long delay, long failureDetectionDelay, double entriesPerSecond) {}

  /**
   * Mean one-way delays of the network.
   *
   * @param sameZone between a proxy and a backend of one zone
   * @param crossZone between a proxy and a backend of different zones
   * @param client between a client and a proxy
   * @param jitter the standard deviation of the logarithm of a delay
   */
  public record Network(long sameZone, long crossZone, long client, double jitter) {}

  /**
   * The tolerances and limits that the referee judges by.
   *
   * @param drainGrace how long after the notification of a drain attempts may still arrive
   * @param collapseMultiple the load, as a multiple of its capacity, that a cold backend sustains;
   *     see {@link ColdBudget}
   * @param collapseWindow the window over which that load is measured
   * @param clockTolerance the tolerance of comparisons between times of different clocks
   */
  public record Terms(
      long drainGrace, double collapseMultiple, long collapseWindow, long clockTolerance) {}

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

  /**
   * A part of the run whose service is measured separately.
   *
   * @param from where it begins
   * @param until where it ends, itself excluded
   */
  public record Window(String name, long from, long until) {}

  /** A condition on a metric of the verdict, such as {@code service >= 0.9}. */
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

  /**
   * The group of the backend of this index. Groups alternate, so that an id doesn't show the group.
   */
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

  /** Creates an empty {@link ColdBudget} with the terms of this scenario, for one backend. */
  public ColdBudget coldBudget() {
    return new ColdBudget(terms.collapseMultiple, terms.collapseWindow, meanWork());
  }
}
