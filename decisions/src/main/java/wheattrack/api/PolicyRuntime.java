package wheattrack.api;

/**
 * The services that a load-balancing policy runs on: a clock, timers, sending of attempts and
 * probes, final answers, discovery and event reports. Each adapter of the policy implements it.
 * Backends are identified by their {@linkplain EndpointUpdate#index() index}; times are in tenths
 * of a millisecond. The policy calls it on the thread on which it was called itself.
 */
public interface PolicyRuntime {
  /** The current time; it never decreases, and does not change during a call into the policy. */
  long now();

  /**
   * Sends an attempt of the request; its attempts are numbered from 0 in the order of these calls.
   *
   * @param timeout how long the attempt may take; 0: until the request's deadline
   */
  void sendAttempt(PendingRequest request, int backend, long timeout, AttemptCallback callback);

  /** Cancels an attempt in flight; its callback still receives an outcome. */
  void cancelAttempt(PendingRequest request, int attempt);

  /**
   * Sends the final answer that the request was rejected: a retry by the client has no second
   * effect.
   *
   * @param retryAfter how long the client is advised to wait before a retry; 0: no advice
   */
  void reject(PendingRequest request, long retryAfter);

  /** Sends the final answer that the request failed; it may have had effects. */
  void fail(PendingRequest request);

  /**
   * Sends a load probe to a backend.
   *
   * @param callback receives the result once, after this call into the policy has returned
   */
  void probeLoad(int backend, ProbeCallback callback);

  /** Closes the idle connections to a backend. */
  void closeIdleConnections(int backend);

  /** Runs a task once after a delay, in a separate call into the policy. */
  void schedule(long delay, Runnable task);

  /** Opens a watch on the endpoint list: discovery sends the list, and then each change. */
  void watchEndpoints();

  /** Reports an event to the operators, normally as a line of the log. */
  void report(PolicyEvent event);
}
