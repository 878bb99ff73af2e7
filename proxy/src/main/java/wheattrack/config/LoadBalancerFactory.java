package wheattrack.config;

import wheattrack.api.LoadBalancer;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.RequestClass;
import wheattrack.policy.EquiloadBalancer;

/** Creates load balancers that are configured from settings and started. */
public final class LoadBalancerFactory {
  private static final long DEFAULT_POLL_INTERVAL_MICROS = 10_000_000;

  private LoadBalancerFactory() {}

  /**
   * A started load balancer.
   *
   * @param runtime the load balancer's clock, timers and actions
   * @param seed the seed of its random draws
   * @param requestClasses the request classes of the settings
   * @param pollsEndpoints whether the endpoint list has to be polled
   */
  public static LoadBalancer create(
      Settings settings,
      PolicyRuntime runtime,
      long seed,
      RequestClass[] requestClasses,
      boolean pollsEndpoints) {
    return create(settings, runtime, seed, requestClasses, pollsEndpoints, Long.MAX_VALUE);
  }

  /**
   * A started load balancer whose polls of the endpoint list, should they fail, are spaced as if
   * the list were polled at least this often.
   *
   * @param maxPollInterval the longest interval between polls, in tenths of a millisecond
   */
  public static LoadBalancer create(
      Settings settings,
      PolicyRuntime runtime,
      long seed,
      RequestClass[] requestClasses,
      boolean pollsEndpoints,
      long maxPollInterval) {
    LoadBalancer loadBalancer =
        new EquiloadBalancer(
            runtime, seed, settings.proxyIndex(), settings.proxyCount(), requestClasses);
    loadBalancer.configure(
        PolicySettingsMapper.policySettings(settings, settings.zones()), requestClasses);
    long pollInterval = settings.time("rules.askEvery", DEFAULT_POLL_INTERVAL_MICROS);
    loadBalancer.start(pollsEndpoints, Math.min(maxPollInterval, pollInterval));
    return loadBalancer;
  }
}
