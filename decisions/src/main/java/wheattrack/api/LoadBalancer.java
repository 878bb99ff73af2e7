package wheattrack.api;

/**
 * Decides for one proxy which backend a request goes to, and whether it is retried, hedged or
 * rejected. The caller (the proxy on sockets, a simulator) reports events here and is called back
 * through {@link PolicyRuntime}. All times are in ticks of a tenth of a millisecond; backends are
 * identified by their {@linkplain EndpointUpdate#index() index}. Not thread-safe: all calls must
 * come on one thread.
 */
public interface LoadBalancer {
  /** The most backends that are known at a time; further ones are ignored and reported. */
  int MAX_BACKENDS = 1024;

  /** Replaces all settings; measurements are kept. */
  default void configure(PolicySettings settings, RequestClass[] classes) {}

  /**
   * Starts the periodic work.
   *
   * @param watch whether the endpoint list must be requested from discovery
   * @param pollInterval the discovery interval, from which the backoff after failed calls is
   *     derived
   */
  default void start(boolean watch, long pollInterval) {}

  /** Applies one entry of the endpoint list. */
  void updateBackend(EndpointUpdate update);

  /** Removes a backend that has left the endpoint list. */
  void removeBackend(int backend);

  /**
   * Called after all entries of one message from discovery have been applied.
   *
   * @param cached whether the list is the cached one, and not an answer from discovery
   */
  void endpointListUpdated(boolean cached);

  /**
   * Called when the endpoint list could not be fetched.
   *
   * @param answered whether discovery answered, but without a list
   */
  void endpointListFailed(boolean answered);

  /**
   * Applies a backend's load report.
   *
   * @param requestsInFlight number of requests that the backend holds
   * @param queued how many of them are queued and not yet processed
   */
  default void onLoadReport(int backend, double requestsInFlight, double queued) {}

  /** Accepts a request; later events of the request are reported to the returned handle. */
  RequestHandle accept(PendingRequest request);

  /** Sets whether a second process of this proxy is running, as during a handover. */
  default void setOtherProcessPresent(boolean present) {}

  /** The number of backends in this proxy's partition that are ejected. */
  default int ejectedCount() {
    return 0;
  }
}
