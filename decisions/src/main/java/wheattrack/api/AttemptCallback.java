package wheattrack.api;

/** Receives the outcome of one attempt, exactly once. */
@FunctionalInterface
public interface AttemptCallback {
  /**
   * Called when the attempt has ended.
   *
   * @param outcome how it ended
   * @param latency time from sending the attempt to its end, in tenths of a millisecond
   * @param requestEnded whether the request had its final answer with this outcome or before it
   */
  void ended(AttemptOutcome outcome, long latency, boolean requestEnded);
}
