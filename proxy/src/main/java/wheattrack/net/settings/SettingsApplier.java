package wheattrack.net.settings;

import java.util.Map;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.RequestClass;
import wheattrack.config.DynamicSettings;
import wheattrack.config.LoadBalancerFactory;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.Settings;
import wheattrack.core.RequestCounters;
import wheattrack.net.backend.BackendTimeouts;
import wheattrack.net.discovery.EndpointDiscovery;
import wheattrack.net.discovery.WatchConnection;

/**
 * Applies the settings of the configuration file or of a watched source to the policy, and stores
 * the part that the proxy itself uses: the request classes by name and how to probe backends. Times
 * are tenths of a millisecond. Runs on the event loop's thread only, except that the policy is
 * created before the loop runs.
 */
public final class SettingsApplier {
  private final EndpointDiscovery endpoints;
  private final RequestCounters counters;
  private LoadBalancer loadBalancer;
  private Map<String, RequestClass> classes = Map.of();
  private boolean expectsLoadReports;
  private long probeTimeout;

  /** Creates an applier; the policy is created next, by {@link #createLoadBalancer}. */
  public SettingsApplier(EndpointDiscovery endpoints, RequestCounters counters) {
    this.endpoints = endpoints;
    this.counters = counters;
  }

  /**
   * Creates the policy with the configuration file's settings and starts it; called once.
   *
   * @param seed seed of the policy's random numbers
   */
  public LoadBalancer createLoadBalancer(Settings settings, PolicyRuntime runtime, long seed) {
    RequestClass[] requestClasses = PolicySettingsMapper.requestClasses(settings);
    registerClasses(settings, requestClasses);
    loadBalancer =
        LoadBalancerFactory.create(
            settings, runtime, seed, requestClasses, true, WatchConnection.MAX_POLL_INTERVAL);
    return loadBalancer;
  }

  /**
   * Applies new settings, all in one step; open requests keep the settings of the class that they
   * were accepted with.
   *
   * @param settings the configuration file's settings
   * @param dynamicSettings the watched source's settings, whose classes, tenants and limits take
   *     precedence; null or empty if there are none
   */
  public void apply(Settings settings, DynamicSettings dynamicSettings) {
    if (dynamicSettings != null && dynamicSettings.isPresent()) {
      applyDynamic(settings, dynamicSettings);
    } else {
      applyStatic(settings);
    }
  }

  private void applyDynamic(Settings settings, DynamicSettings dynamicSettings) {
    Settings merged = dynamicSettings.overlay(settings);
    loadBalancer.configure(
        PolicySettingsMapper.policySettings(
            merged, endpoints.zones(), dynamicSettings.totalQuota()),
        dynamicSettings.summary());
    classes = dynamicSettings.requestClasses();
    readProbing(merged);
  }

  private void applyStatic(Settings settings) {
    RequestClass[] requestClasses = PolicySettingsMapper.requestClasses(settings);
    loadBalancer.configure(
        PolicySettingsMapper.policySettings(settings, endpoints.zones()), requestClasses);
    registerClasses(settings, requestClasses);
  }

  private void registerClasses(Settings settings, RequestClass[] requestClasses) {
    classes = PolicySettingsMapper.classesByName(settings, requestClasses);
    PolicySettingsMapper.classNames(settings)
        .forEach(counters::declare); // metrics list the classes in the order of declaration
    readProbing(settings);
  }

  private void readProbing(Settings settings) {
    expectsLoadReports = PolicySettingsMapper.expectsLoadReports(settings);
    probeTimeout = BackendTimeouts.of(settings).connect();
  }

  /** The request classes in force, by name. */
  public Map<String, RequestClass> classes() {
    return classes;
  }

  /** Whether backends report their load. */
  public boolean expectsLoadReports() {
    return expectsLoadReports;
  }

  /** Timeout of a probe, which is the one for connecting to a backend. */
  public long probeTimeout() {
    return probeTimeout;
  }
}
