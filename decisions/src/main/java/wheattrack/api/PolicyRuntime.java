package wheattrack.api;

/**
 * What the policy may do to the world: a clock, timers, sending and answering. Whoever carries a
 * protocol implements it. Backends go by the dense index under which they were listed, requests by
 * their object, times are in tenths of a millisecond. All calls come on the thread that called the
 * policy.
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

  /** Asks a backend for its load. */
  void probeLoad(int backend, ProbeCallback callback);

  /** Closes the connections to a backend that carry nothing now. */
  void closeIdleConnections(int backend);

  /** Runs a task once, after a delay. */
  void schedule(long delay, Runnable task);

  /** Asks discovery for the endpoint list and for all changes from now on. */
  void watchEndpoints();

  /** Reports what operators should know. */
  void report(PolicyEvent event);
}
