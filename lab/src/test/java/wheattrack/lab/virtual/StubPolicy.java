package wheattrack.lab.virtual;

import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.RequestHandle;

/**
 * A base of test policies: it watches the endpoint list, also again after a failure, and keeps no
 * state of requests.
 */
abstract class StubPolicy implements LoadBalancer {
  /** Delay before the list is watched again, in tenths of a millisecond. */
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

  /** Handles a request. */
  abstract void onRequest(PendingRequest request);

  @Override
  public void endpointListUpdated(boolean cached) {
    // each entry was passed to updateBackend already
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
        // there is no state of the request
      }
    };
  }
}
