package wheattrack.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.PolicySettings;
import wheattrack.api.RequestClass;
import wheattrack.api.RequestHandle;
import wheattrack.discovery.DiscoveryBackoff;
import wheattrack.state.BackendState;
import wheattrack.state.IdleConnections;
import wheattrack.state.PolicyState;
import wheattrack.state.Ticks;

/**
 * Load balancing by EQUILOAD (docs/design.md): the entry points of the policy and its periodic
 * work. Not thread-safe.
 */
public final class EquiloadBalancer implements LoadBalancer {
  /** Periodic checks within one tightest latency objective. */
  private static final int CHECKS_PER_OBJECTIVE = 10;

  final PolicyState state;
  final SlowStart slowStart;
  final OutlierDetector outliers;
  final IntervalPartition partition;
  final AdmissionControl admission;
  final BackendSelector selector;
  final Set<RequestLifecycle> openRequests = new LinkedHashSet<>(); // oldest first
  private final DiscoveryBackoff discovery;

  /**
   * Creates the policy of one proxy with default settings; it does nothing before it is started.
   *
   * @param seed seed of all random draws
   * @param proxyIndex index of this proxy, from 0
   * @param proxyCount number of proxies
   */
  public EquiloadBalancer(
      PolicyRuntime runtime, long seed, int proxyIndex, int proxyCount, RequestClass[] classes) {
    state = new PolicyState(runtime, seed, proxyIndex, proxyCount);
    slowStart = new SlowStart(state);
    outliers = new OutlierDetector(state);
    partition = new IntervalPartition(state, outliers);
    admission = new AdmissionControl(state);
    selector = new BackendSelector(this);
    discovery = new DiscoveryBackoff(runtime, state.random());
    configure(PolicySettings.DEFAULTS, classes);
  }

  @Override
  public void configure(PolicySettings settings, RequestClass[] classes) {
    state.configure(settings, classes);
  }

  @Override
  public void start(boolean watch, long pollInterval) {
    discovery.setPollInterval(pollInterval);
    if (watch) {
      state.runtime().watchEndpoints();
    }
    updateEverySecond();
    checkPeriodically();
  }

  @Override
  public int ejectedCount() {
    return outliers.ejectedCount();
  }

  @Override
  public void setOtherProcessPresent(boolean present) {
    state.setOtherProcessPresent(present);
  }

  @Override
  public void onLoadReport(int backend, double requestsInFlight, double queued) {
    state.addLoadReport(backend, requestsInFlight, queued);
  }

  @Override
  public void updateBackend(EndpointUpdate update) {
    BackendState restarted = state.updateBackend(update);
    if (restarted != null) {
      slowStart.restart(restarted);
    }
  }

  @Override
  public void removeBackend(int backend) {
    state.removeBackend(backend);
  }

  @Override
  public void endpointListUpdated(boolean cached) {
    discovery.onList(cached);
    partition.rebuild();
  }

  @Override
  public void endpointListFailed(boolean answered) {
    discovery.onFailure(answered);
  }

  @Override
  public RequestHandle accept(PendingRequest request) {
    RequestLifecycle lifecycle = new RequestLifecycle(this, state.open(request));
    openRequests.add(lifecycle);
    lifecycle.start();
    return lifecycle;
  }

  private void updateEverySecond() {
    state.updateEstimates(partition.backends());
    admission.updateShedShare();
    state.decayCounts();
    partition.rebuild();
    state.runtime().schedule(Ticks.SECOND, this::updateEverySecond);
  }

  private void checkPeriodically() {
    for (BackendState backend : partition.backends()) {
      state.waits().updateMeanWait(backend);
      outliers.checkSilence(backend);
    }
    List.copyOf(openRequests).forEach(RequestLifecycle::checkProgress);
    IdleConnections.close(state);
    long interval = state.tightestObjective() / CHECKS_PER_OBJECTIVE;
    state.runtime().schedule(interval, this::checkPeriodically);
  }
}
