package wheattrack.api;

/**
 * The services that a load-balancing policy runs on: a clock, timers, sending of attempts and
 * probes, final answers, discovery and event reports. Each adapter of the policy implements it.
 * Backends are identified by the dense index of the endpoint list; times are in tenths of a
 * millisecond. The policy calls it on the thread on which it was called itself.
 */
public interface PolicyRuntime {
  /** The current time; it never goes back and stands still within a call into the policy. */
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
   * Final answer: the request was rejected, and a retry by the client does no harm.
   *
   * @param retryAfter advice to the client how long to wait; 0 gives none
   */
  void reject(PendingRequest request, long retryAfter);

  /** Final answer: the request has failed, with no promise about its effects. */
  void fail(PendingRequest request);

  /**
   * Sends a load probe to a backend.
   *
   * @param callback receives the result once, in a later step
   */
  void probeLoad(int backend, ProbeCallback callback);

  /** Closes the idle connections to a backend. */
  void closeIdleConnections(int backend);

  /** Runs a task once after a delay, as a step of its own. */
  void schedule(long delay, Runnable task);

  /** Opens a watch on the endpoint list: discovery sends the list and all later changes. */
  void watchEndpoints();

  /** Reports an event to the operators, normally as a line of the log. */
  void report(PolicyEvent event);
}
