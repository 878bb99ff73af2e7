package wheattrack.api;

/**
 * Receives the result of one load probe, exactly once. A load report that came with the answer has
 * been delivered before.
 */
@FunctionalInterface
public interface ProbeCallback {
  /**
   * The probe has ended.
   *
   * @param answered whether the backend answered
   * @param latency time from sending to the end, in tenths of a millisecond
   */
  void ended(boolean answered, long latency);
}
