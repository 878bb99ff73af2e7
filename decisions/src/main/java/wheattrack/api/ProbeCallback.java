package wheattrack.api;

/**
 * Receives the result of one load probe, exactly once. A load report that came with the answer is
 * delivered to {@link LoadBalancer#onLoadReport} before this call.
 */
@FunctionalInterface
public interface ProbeCallback {
  /**
   * Called when the probe has ended.
   *
   * @param answered whether the backend answered
   * @param latency time from sending the probe to its end, in tenths of a millisecond
   */
  void ended(boolean answered, long latency);
}
