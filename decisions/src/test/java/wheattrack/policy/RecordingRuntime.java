package wheattrack.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.Idempotency;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.PolicySettings;
import wheattrack.api.ProbeCallback;
import wheattrack.api.RequestClass;
import wheattrack.api.RequestHandle;
import wheattrack.state.Ticks;
import wheattrack.testing.TraceRecorder;

/**
 * A runtime on a virtual clock that records each call of the policy; the test decides the outcome
 * of each attempt.
 */
final class RecordingRuntime extends TraceRecorder implements PolicyRuntime {
  /** A second, in tenths of a millisecond. */
  static final long SECOND = VirtualClock.SECOND;

  /** Cost hints of ordinary requests. */
  static final int[] COSTS = {10, 20, 30, 40, 50, 60, 70, 80};

  /** The callbacks of all attempts, in their order. */
  final List<AttemptCallback> callbacks = new ArrayList<>();

  /** The backends of all attempts, in their order. */
  final List<Integer> attemptBackends = new ArrayList<>();

  /** How often the policy has requested the endpoint list. */
  int watchCount;

  private final List<Long> sentAt = new ArrayList<>();
  private final VirtualClock clock = new VirtualClock();
  private final Set<Integer> listedBackends = new HashSet<>();
  private RequestClass requestClass;
  PolicySettings settings;
  LoadBalancer loadBalancer;

  /** A class of requests with an objective of half a second and a client timeout of two seconds. */
  static RequestClass requestClass(
      Idempotency idempotency, DeduplicationScope scope, double lateWeight) {
    return new RequestClass(
        0, SECOND / 2, 2 * SECOND, idempotency, scope, SECOND / 10, 1, lateWeight, false);
  }

  /**
   * One proxy of three with backends 0 to n-1, whose ids are 10, 20 and so on, in zones 0 and 1 and
   * cells 0 to 2 in rotation.
   */
  static RecordingRuntime create(
      int backendCount,
      int proxyIndex,
      RequestClass requestClass,
      boolean mayHedge,
      boolean isWatching) {
    return create(backendCount, proxyIndex, 3, requestClass, mayHedge, isWatching);
  }

  /** The same with another number of proxies. */
  static RecordingRuntime create(
      int backendCount,
      int proxyIndex,
      int proxyCount,
      RequestClass requestClass,
      boolean mayHedge,
      boolean isWatching) {
    RecordingRuntime runtime = new RecordingRuntime();
    runtime.requestClass = requestClass;
    runtime.loadBalancer =
        new EquiloadBalancer(
            runtime, 7 + proxyIndex, proxyIndex, proxyCount, new RequestClass[] {requestClass});
    runtime.configure(
        PolicySettings.DEFAULTS
            .withAttempts(new PolicySettings.AttemptLimits(4, true, mayHedge, SECOND))
            .withSlowStart(new PolicySettings.SlowStartLimits(0.25, 8 * SECOND, 3, 2 * SECOND)));
    runtime.loadBalancer.start(isWatching, 10 * SECOND);
    for (int backend = 0; backend < backendCount; backend++) {
      runtime.updateBackend(backend, true, Long.MIN_VALUE / 2);
    }
    runtime.loadBalancer.endpointListUpdated(false);
    return runtime;
  }

  /** One proxy of three, with idempotent requests. */
  static RecordingRuntime idempotent(int backendCount, boolean mayHedge) {
    return idempotent(backendCount, 0, 3, mayHedge);
  }

  /** One proxy of this many, with idempotent requests. */
  static RecordingRuntime idempotent(
      int backendCount, int proxyIndex, int proxyCount, boolean mayHedge) {
    return create(
        backendCount,
        proxyIndex,
        proxyCount,
        requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
        mayHedge,
        false);
  }

  /** One proxy of three whose four backends report their load, in answers or when probed. */
  static RecordingRuntime withLoadReports(boolean isProbed) {
    RecordingRuntime runtime = idempotent(4, false);
    runtime.configure(
        runtime.settings.withLoadReports(new PolicySettings.LoadReports(true, isProbed)));
    return runtime;
  }

  /** Applies these settings. */
  void configure(PolicySettings newSettings) {
    settings = newSettings;
    loadBalancer.configure(newSettings, new RequestClass[] {requestClass});
  }

  /** Adds a backend to the endpoint list, or updates its entry. */
  void updateBackend(int backend, boolean isReady, long startedAt) {
    loadBalancer.updateBackend(
        new EndpointUpdate(
            backend,
            10 * backend + 10,
            isReady,
            backend % 2,
            backend % 3,
            0,
            1,
            startedAt,
            listedBackends.add(backend)));
  }

  /** Adds a backend that has started just now to the list. */
  void addNewBackend(int backend) {
    updateBackend(backend, true, now());
    loadBalancer.endpointListUpdated(false);
  }

  /** Removes backends from the list. */
  void removeBackends(int... backends) {
    for (int backend : backends) {
      loadBalancer.removeBackend(backend);
    }
    loadBalancer.endpointListUpdated(false);
  }

  /** Lets a request arrive, with a second until its deadline. */
  RequestHandle arrive(String name, int costHint) {
    return loadBalancer.accept(
        new PendingRequest(requestClass, now(), now() + SECOND, costHint, false, name));
  }

  /** Lets a request arrive that is marked as a client's retry. */
  RequestHandle arriveAsRetry(String name, int costHint) {
    return loadBalancer.accept(
        new PendingRequest(requestClass, now(), now() + SECOND, costHint, true, name));
  }

  /** Ends the latest attempt. */
  void endAttempt(AttemptOutcome outcome) {
    endAttempt(callbacks.size() - 1, outcome);
  }

  /** Ends the attempt of this number, counted from 0 over all requests. */
  void endAttempt(int attempt, AttemptOutcome outcome) {
    recordLine("  " + attempt + " ends " + outcome);
    callbacks
        .get(attempt)
        .ended(outcome, now() - sentAt.get(attempt), outcome == AttemptOutcome.DONE);
  }

  /** Serves requests one by one for this time; each takes as long as its cost hint says. */
  void serveOneByOne(int seconds, int[] costs) {
    boolean wasQuiet = quiet;
    quiet = true;
    for (long end = now() + seconds * SECOND, i = 0; now() < end; i++) {
      int firstAttempt = callbacks.size();
      int cost = costs[(int) (i % costs.length)];
      arrive("busy", cost);
      advance(cost);
      for (int attempt = firstAttempt; attempt < callbacks.size(); attempt++) {
        endAttempt(attempt, AttemptOutcome.DONE);
      }
    }
    quiet = wasQuiet;
  }

  /** Advances the clock and runs the timers that are due. */
  void advance(long duration) {
    clock.advance(duration);
  }

  @Override
  public long now() {
    return clock.now();
  }

  @Override
  public void sendAttempt(
      PendingRequest request, int backend, long timeout, AttemptCallback callback) {
    recordLine(
        request.attachment()
            + " -> "
            + (10 * backend + 10)
            + " for "
            + timeout / Ticks.MILLISECOND
            + " ms");
    attemptBackends.add(backend);
    callbacks.add(callback);
    sentAt.add(now());
  }

  @Override
  public void cancelAttempt(PendingRequest request, int attempt) {
    recordLine(request.attachment() + " calls off " + attempt);
  }

  @Override
  public void reject(PendingRequest request, long retryAfter) {
    recordLine(request.attachment() + " denied, wait " + retryAfter / Ticks.MILLISECOND + " ms");
  }

  @Override
  public void fail(PendingRequest request) {
    recordLine(request.attachment() + " aborted");
  }

  @Override
  public void probeLoad(int backend, ProbeCallback callback) {
    recordLine("probe " + (10 * backend + 10));
  }

  @Override
  public void closeIdleConnections(int backend) {
    recordLine("hang up " + (10 * backend + 10));
  }

  @Override
  public void schedule(long delay, Runnable task) {
    clock.schedule(delay, task);
  }

  @Override
  public void watchEndpoints() {
    watchCount++;
    recordLine("follow at " + (now() - VirtualClock.START) / Ticks.MILLISECOND + " ms");
  }

  @Override
  public void report(PolicyEvent event) {
    recordLine("log: " + event.text());
  }
}
