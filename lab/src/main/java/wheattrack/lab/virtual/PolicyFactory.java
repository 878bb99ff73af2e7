package wheattrack.lab.virtual;

import wheattrack.api.LoadBalancer;
import wheattrack.api.PolicyRuntime;

/** Creates the policies of the proxies of a virtual run: the proxies' own policy, or a baseline. */
@FunctionalInterface
interface PolicyFactory {
  /** Creates and starts the policy of a proxy whose process starts. */
  LoadBalancer create(PolicyRuntime runtime, long seed, int proxyIndex);
}
