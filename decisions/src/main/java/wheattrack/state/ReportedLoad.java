package wheattrack.state;

/**
 * Load reported by backends, and the cost that a new request would have to wait for. The number of
 * requests that a backend processes concurrently is learnt per kind. Not thread-safe.
 */
public final class ReportedLoad {
  /** Weight of a new report that shows a backend full, against those before. */
  private static final double CONCURRENCY_GAIN = 1.0 / 8;

  private final double[] kindConcurrency = new double[BackendState.MAX_KINDS];
  private boolean expected;
  private long maxAge;

  /** Whether reports are expected, and how long one counts. */
  void configure(boolean reportsExpected, long reportMaxAge) {
    expected = reportsExpected;
    maxAge = reportMaxAge;
  }

  /** Whether backends report their load. */
  public boolean isExpected() {
    return expected;
  }

  /** Takes a report: requests that a backend holds, and those of them that wait. */
  void add(BackendState backend, double inFlight, double queued, long now) {
    if (!expected || inFlight < 0) {
      return;
    }
    backend.setReport(inFlight, now);
    double working = inFlight - Math.max(0, queued);
    double known = kindConcurrency[backend.kind()];
    double learnt =
        queued >= 1 ? known + (working - known) * CONCURRENCY_GAIN : Math.max(known, working);
    kindConcurrency[backend.kind()] = Math.max(1, learnt);
  }

  /** Whether a backend's last report is still new enough to go by. */
  public boolean isFresh(BackendState backend, long now) {
    return backend.reportedAt() > 0 && now - backend.reportedAt() < maxAge;
  }

  /** Cost ahead of a request sent there now, for each that it works on at once. */
  public double costAhead(BackendState backend, double meanCost) {
    double concurrency = kindConcurrency[backend.kind()];
    return Math.max(0, backend.reportedInFlight() + 1 - concurrency)
        * meanCost
        / Math.max(1, concurrency);
  }
}
