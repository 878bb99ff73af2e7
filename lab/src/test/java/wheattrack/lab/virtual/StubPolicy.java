package wheattrack.lab.virtual;

import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.RequestHandle;

/** A policy without state of requests, for tests to fill in: watches the list again as it fails. */
abstract class StubPolicy implements LoadBalancer {
  private static final long WATCH_BACKOFF = 1_000;

  private final PolicyRuntime runtime;

  /** Creates a policy that watches the endpoint list. */
  StubPolicy(PolicyRuntime runtime) {
    this.runtime = runtime;
    runtime.watchEndpoints();
  }

  /** The runtime of the proxy. */
  final PolicyRuntime runtime() {
    return runtime;
  }

  /** Decides what becomes of a request. */
  abstract void onRequest(PendingRequest request);

  @Override
  public void endpointListUpdated(boolean cached) {
    // each entry was an update of its own
  }

  @Override
  public final void endpointListFailed(boolean answered) {
    runtime.schedule(WATCH_BACKOFF, runtime::watchEndpoints);
  }

  @Override
  public final RequestHandle accept(PendingRequest request) {
    onRequest(request);
    return new RequestHandle() {
      @Override
      public void streamingStarted(int attempt) {
        // virtual backends do not stream
      }

      @Override
      public void clientDisconnected() {
        // it keeps no state
      }
    };
  }
}
