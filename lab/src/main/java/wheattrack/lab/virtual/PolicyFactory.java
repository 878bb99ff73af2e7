package wheattrack.lab.virtual;

import wheattrack.api.LoadBalancer;
import wheattrack.api.PolicyRuntime;

/**
 * Creates what decides for the proxies of a virtual run: the proxies' own policy, or a baseline.
 */
@FunctionalInterface
interface PolicyFactory {
  /** Creates the policy of a proxy that starts; it has been started when this returns. */
  LoadBalancer create(PolicyRuntime runtime, long seed, int proxyIndex);
}
