package wheattrack.state;

import java.util.Arrays;
import java.util.List;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.PolicySettings;
import wheattrack.api.RequestClass;
import wheattrack.statistics.LatenessCounters;
import wheattrack.statistics.SeededRandom;

/**
 * The state of one proxy's policy: settings, backends and measurements, shared by the classes of
 * the policy. It takes no decisions. Not thread-safe.
 */
public final class PolicyState implements CostModel.Listener {
  /** Factor by which the counts of requests decay each second. */
  private static final double COUNT_DECAY_PER_SECOND =
      ThroughputEstimator.DECAY_PER_SECOND * ThroughputEstimator.DECAY_PER_SECOND;

  /** The tightest objective divided by this is how long load reports stay fresh. */
  private static final int REPORT_MAX_AGE_DIVISOR = 2;

  private final PolicyRuntime runtime;
  private final SeededRandom random;
  private final int proxyIndex;
  private final int proxyCount;
  private final BackendTable backends = new BackendTable();
  private final CostModel costs = new CostModel(this);
  private final ThroughputEstimator throughput = new ThroughputEstimator(backends);
  private final ReportedLoad reportedLoad = new ReportedLoad();
  private final InFlightTotals inFlight = new InFlightTotals();
  private final LatenessCounters lateness = new LatenessCounters();
  private final TrafficShare traffic;
  private final WaitEstimator waits = new WaitEstimator(this);
  private final WarmUpModel warmUp = new WarmUpModel(this);
  private final FailureRates failureRates = new FailureRates();
  private final ZoneWeights zoneWeights = new ZoneWeights();
  private final IdleRejections idleRejections = new IdleRejections(this);
  private PolicySettings settings = PolicySettings.DEFAULTS;
  private long tightestObjective;
  private boolean hasIdempotentClass;
  private int processCount = 1;
  private double proxiesPerBackend = 1;
  private double meanValue = 1;

  /**
   * Creates the state of a proxy that has just started.
   *
   * @param runtime the services that the policy runs on
   * @param seed seed of all random numbers
   * @param proxyIndex index of this proxy, from 0
   * @param proxyCount number of proxies
   */
  public PolicyState(PolicyRuntime runtime, long seed, int proxyIndex, int proxyCount) {
    this.runtime = runtime;
    this.proxyIndex = proxyIndex;
    this.proxyCount = Math.max(1, proxyCount);
    random = new SeededRandom(seed);
    traffic = new TrafficShare(this.proxyCount);
  }

  /** Applies settings; measurements are kept. */
  public void configure(PolicySettings newSettings, RequestClass[] classes) {
    settings = newSettings;
    tightestObjective =
        Arrays.stream(classes).mapToLong(RequestClass::latencyObjective).min().orElse(Ticks.SECOND);
    hasIdempotentClass = Arrays.stream(classes).anyMatch(RequestClass::isIdempotent);
    boolean reported = settings.loadReports().expected();
    costs.setLoadReported(reported);
    throughput.setLoadReported(reported);
    reportedLoad.configure(reported, tightestObjective / REPORT_MAX_AGE_DIVISOR);
    traffic.configure(settings.traffic());
    zoneWeights.configure(settings.zones().own(), settings.zones().crossingPrice());
  }

  /** Records an accepted request; must be called before its first attempt. */
  public OpenRequest open(PendingRequest request) {
    if (request.costHint() > 0) {
      costs.addHint(request.costHint(), request.isClientRetry(), traffic.requests());
    }
    OpenRequest open = new OpenRequest(this, request);
    double gain = Math.max(1.0 / CostModel.WINDOW_SIZE, 1.0 / traffic.countRequest());
    meanValue += (open.value() - meanValue) * gain;
    lateness.countArrival();
    return open;
  }

  /**
   * Applies an entry of the endpoint list.
   *
   * @return the backend if it has restarted, else null
   */
  public BackendState updateBackend(EndpointUpdate update) {
    if (update.index() >= LoadBalancer.MAX_BACKENDS) {
      String cause = LoadBalancer.MAX_BACKENDS + " are known already";
      runtime.report(new PolicyEvent(PolicyEvent.Kind.BACKEND_LEFT_OUT, update.id(), cause));
      return null;
    }
    BackendState backend = backends.at(update.index());
    boolean restarted = backend.update(update);
    if (restarted) {
      backend.forgetMeasurements();
    }
    return restarted ? backend : null;
  }

  /** Marks a backend that has left the endpoint list. */
  public void removeBackend(int backend) {
    if (backend < LoadBalancer.MAX_BACKENDS) {
      backends.at(backend).markRemoved();
    }
  }

  /** Applies a load report: requests in flight at a backend, and how many of them are queued. */
  public void addLoadReport(int backend, double requestsInFlight, double queued) {
    if (backend < LoadBalancer.MAX_BACKENDS) {
      reportedLoad.add(backends.at(backend), requestsInFlight, queued, now());
    }
  }

  /**
   * Updates the estimates with the measurements of the last second; must be called once a second.
   * {@link #decayCounts} must follow once all readers have used the counts.
   *
   * @param partition the backends that this proxy sends to
   */
  public void updateEstimates(BackendState[] partition) {
    List<BackendState> warm =
        Arrays.stream(partition)
            .filter(b -> b.isReady() && !b.isEjected() && warmUp.isWarm(b))
            .toList();
    throughput.updateEstimates(warm, lateness.arrived(), partition.length, now());
    traffic.updateRate();
    idleRejections.endSecond((1 - COUNT_DECAY_PER_SECOND) * lateness.arrived());
  }

  /**
   * Adapts the weight of other zones, decays the counts of late requests, and fits the cost model
   * to the current hints; must be called once a second.
   */
  public void decayCounts() {
    zoneWeights.adapt(lateness.missedShare());
    lateness.decay(COUNT_DECAY_PER_SECOND);
    costs.refit();
  }

  @Override
  public void hintUnitChanged(long percent) {
    runtime.report(
        new PolicyEvent(PolicyEvent.Kind.HINT_UNIT_CHANGED, percent, "per cent of before"));
  }

  @Override
  public void costsRescaled(double factor) {
    backends.all().forEach(backend -> backend.scaleCosts(factor));
    throughput.scaleCosts(factor);
    inFlight.scaleCosts(factor);
    lateness.scaleCosts(factor);
    meanValue *= factor;
  }

  /** The current time in ticks. */
  public long now() {
    return runtime.now();
  }

  /** The runtime that the policy runs in. */
  public PolicyRuntime runtime() {
    return runtime;
  }

  /** The source of all random numbers. */
  public SeededRandom random() {
    return random;
  }

  /** The settings in use. */
  public PolicySettings settings() {
    return settings;
  }

  /** The tightest latency objective of all classes, in ticks; the policy scales its times by it. */
  public long tightestObjective() {
    return tightestObjective;
  }

  /** Whether any class of requests is idempotent. */
  public boolean hasIdempotentClass() {
    return hasIdempotentClass;
  }

  /** The index of this proxy, from 0. */
  public int proxyIndex() {
    return proxyIndex;
  }

  /** The number of proxies, at least 1. */
  public int proxyCount() {
    return proxyCount;
  }

  /** Sets whether a second process of this proxy is running, as during a handover. */
  public void setOtherProcessPresent(boolean present) {
    processCount = present ? 2 : 1;
  }

  /** The number of proxy processes that send to one backend. */
  public double proxiesPerBackend() {
    return proxiesPerBackend;
  }

  /**
   * Sets how many proxies send to one backend, at least 1; two processes of a proxy count as two.
   */
  public void setProxiesPerBackend(double proxies) {
    proxiesPerBackend = processCount * Math.max(1, proxies);
  }

  /** Mean value of recent requests, see {@link OpenRequest#value}. */
  public double meanValue() {
    return meanValue;
  }

  /** All backends. */
  public BackendTable backends() {
    return backends;
  }

  /** Expected cost of requests. */
  public CostModel costs() {
    return costs;
  }

  /** Throughput of backends. */
  public ThroughputEstimator throughput() {
    return throughput;
  }

  /** Load reported by backends. */
  public ReportedLoad reportedLoad() {
    return reportedLoad;
  }

  /** Estimated waits at backends. */
  public WaitEstimator waits() {
    return waits;
  }

  /** Capacity of backends that warm up. */
  public WarmUpModel warmUp() {
    return warmUp;
  }

  /** Failure rates of backends. */
  public FailureRates failureRates() {
    return failureRates;
  }

  /** Weights of backends by their zones. */
  public ZoneWeights zoneWeights() {
    return zoneWeights;
  }

  /** Rejections while nothing was in flight. */
  public IdleRejections idleRejections() {
    return idleRejections;
  }

  /** Attempts in flight anywhere. */
  public InFlightTotals inFlight() {
    return inFlight;
  }

  /** Recent requests, and those that were late. */
  public LatenessCounters lateness() {
    return lateness;
  }

  /** This proxy's share of the traffic. */
  public TrafficShare traffic() {
    return traffic;
  }

  /** Whether nothing is in flight and nothing was sent for the tightest objective. */
  public boolean isIdle() {
    return inFlight.isIdle(now(), tightestObjective);
  }
}
