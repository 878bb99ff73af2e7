package wheattrack.api;

/**
 * Decides for one proxy which backend a request goes to, and whether it is retried, hedged or
 * rejected. The caller (the proxy on sockets, a simulator) reports events here and is called back
 * through {@link PolicyRuntime}. All times are in ticks of a tenth of a millisecond; backends are
 * identified by the dense index of the endpoint list. Not thread-safe: all calls must come on one
 * thread.
 */
public interface LoadBalancer {
  /** The most backends known at a time; further ones are left out and reported. */
  int MAX_BACKENDS = 1024;

  /** Applies all settings at once; measurements are kept. */
  default void configure(PolicySettings settings, RequestClass[] classes) {}

  /**
   * Starts the periodic work.
   *
   * @param watch whether the endpoint list must be requested from discovery
   * @param pollInterval the shortest time between requests to discovery
   */
  default void start(boolean watch, long pollInterval) {}

  /** Applies one entry of the endpoint list. */
  void updateBackend(EndpointUpdate update);

  /** A backend has left the endpoint list. */
  void removeBackend(int backend);

  /**
   * All changes of one message of the endpoint list have been applied.
   *
   * @param cached whether the list is the cached one and not an answer of discovery
   */
  void endpointListUpdated(boolean cached);

  /**
   * The endpoint list could not be fetched.
   *
   * @param answered whether discovery answered, though not with a list
   */
  void endpointListFailed(boolean answered);

  /** Applies a backend's load report: its requests in flight, and how many of them are queued. */
  default void onLoadReport(int backend, double requestsInFlight, double queued) {}

  /** Accepts a request; later events of the request are reported to the returned handle. */
  RequestHandle accept(PendingRequest request);

  /** Sets whether a second process of this proxy is running, as during a handover. */
  default void setOtherProcessPresent(boolean present) {}

  /** The number of backends in use that are ejected. */
  default int ejectedCount() {
    return 0;
  }
}
