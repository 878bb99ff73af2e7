package wheattrack.lab.virtual;

import wheattrack.api.EndpointUpdate;
import wheattrack.api.PendingRequest;
import wheattrack.api.RequestHandle;
import wheattrack.policy.LoadBalancer;

/** The proxies' own policy. */
record LoadBalancerPolicy(LoadBalancer loadBalancer) implements Policy {
  @Override
  public void updateBackend(EndpointUpdate update) {
    loadBalancer.updateBackend(update);
  }

  @Override
  public void removeBackend(int index) {
    loadBalancer.removeBackend(index);
  }

  @Override
  public void endpointListUpdated(boolean cached) {
    loadBalancer.endpointListUpdated(cached);
  }

  @Override
  public void endpointListFailed() {
    loadBalancer.endpointListFailed(false);
  }

  @Override
  public RequestHandle accept(PendingRequest request) {
    return loadBalancer.accept(request);
  }
}
