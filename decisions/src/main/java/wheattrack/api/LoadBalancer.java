package wheattrack.api;

/**
 * Decides for one proxy which backend a request goes to, and whether it is retried, hedged or
 * rejected. Whoever carries a protocol reports here what it learns, and is called back through
 * {@link PolicyRuntime}. All times are in ticks of a tenth of a millisecond, backends go by the
 * dense index of the endpoint list. Not thread-safe: all calls come on one thread.
 */
public interface LoadBalancer {
  /** Backends known at once; what is listed beyond them is left out and reported. */
  int MAX_BACKENDS = 1024;

  /** Takes all settings into use at once; what was measured is kept. */
  default void configure(PolicySettings settings, RequestClass[] classes) {}

  /**
   * Begins the periodic work.
   *
   * @param watch whether the endpoint list has to be asked for
   * @param pollInterval how often it may be asked for
   */
  default void start(boolean watch, long pollInterval) {}

  /** Takes what the endpoint list says of a backend. */
  void updateBackend(EndpointUpdate update);

  /** A backend has left the endpoint list. */
  void removeBackend(int backend);

  /**
   * All changes of one message of the list have been told.
   *
   * @param cached whether it is only what this proxy had last, and no answer to a call
   */
  void endpointListUpdated(boolean cached);

  /**
   * The endpoint list could not be had.
   *
   * @param answered whether discovery answered, but not with a list
   */
  void endpointListFailed(boolean answered);

  /** Takes a backend's load report: requests that it holds, and those of them that wait. */
  default void onLoadReport(int backend, double requestsInFlight, double queued) {}

  /** Takes a request; the runtime reports to the handle what happens to it. */
  RequestHandle accept(PendingRequest request);

  /** Whether a second process of this proxy runs beside this one, as in a handover. */
  default void setOtherProcessPresent(boolean present) {}

  /** Backends on the list that are kept away from now. */
  default int ejectedCount() {
    return 0;
  }
}
