package wheattrack.lab.virtual;

import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.ProbeCallback;

/** The policy's runtime on the virtual clock, for one proxy. */
final class VirtualPolicyRuntime implements PolicyRuntime {
  private final VirtualRun run;
  private final VirtualDiscovery discovery;
  private final VirtualProxy proxy;

  VirtualPolicyRuntime(VirtualRun run, VirtualDiscovery discovery, VirtualProxy proxy) {
    this.run = run;
    this.discovery = discovery;
    this.proxy = proxy;
  }

  @Override
  public long now() {
    return VirtualRun.CLOCK_START + run.now();
  }

  @Override
  public void schedule(long delay, Runnable task) {
    proxy.scheduleInIncarnation(Math.max(1, delay), task);
  }

  @Override
  public void watchEndpoints() {
    discovery.watch(proxy);
  }

  @Override
  public void sendAttempt(
      PendingRequest request, int backend, long timeout, AttemptCallback callback) {
    long wait = timeout == 0 ? request.deadline() - now() : timeout;
    proxy.startAttempt((VirtualRequest) request.attachment(), backend, wait, callback);
  }

  @Override
  public void cancelAttempt(PendingRequest request, int attempt) {
    VirtualRequest virtualRequest = (VirtualRequest) request.attachment();
    virtualRequest.attempts().get(attempt).abandon(AttemptOutcome.CANCELLED);
  }

  @Override
  public void reject(PendingRequest request, long retryAfter) {
    proxy.reject((VirtualRequest) request.attachment(), retryAfter);
  }

  @Override
  public void fail(PendingRequest request) {
    proxy.fail((VirtualRequest) request.attachment());
  }

  @Override
  public void probeLoad(int backend, ProbeCallback callback) {
    // virtual backends do not answer load probes: each probe times out
    run.schedule(
        VirtualProxy.CONNECT_TIMEOUT, () -> callback.ended(false, VirtualProxy.CONNECT_TIMEOUT));
  }

  @Override
  public void closeIdleConnections(int backend) {
    // virtual connections have no cost while they are idle
  }

  @Override
  public void report(PolicyEvent event) {
    // events are not logged: the ledger is the record of the run
  }
}
