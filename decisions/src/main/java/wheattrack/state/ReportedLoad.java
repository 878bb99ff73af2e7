package wheattrack.state;

/**
 * Load reported by backends, and the cost that a new request would have to wait for. The number of
 * requests that a backend processes concurrently is estimated per kind. Not thread-safe.
 */
public final class ReportedLoad {
  /**
   * Weight of a new report with queued requests, which shows the backend full, against the estimate
   * from earlier reports.
   */
  private static final double CONCURRENCY_GAIN = 1.0 / 8;

  private final double[] kindConcurrency = new double[BackendState.MAX_KINDS];
  private boolean expected;
  private long maxAge;

  /**
   * Applies settings.
   *
   * @param reportMaxAge how long a report stays fresh, in ticks
   */
  void configure(boolean reportsExpected, long reportMaxAge) {
    expected = reportsExpected;
    maxAge = reportMaxAge;
  }

  /** Whether backends report their load. */
  public boolean isExpected() {
    return expected;
  }

  /** Records a report: the requests in flight at a backend, and how many of them are queued. */
  void add(BackendState backend, double inFlight, double queued, long now) {
    if (!expected || inFlight < 0) {
      return;
    }
    backend.setReport(inFlight, now);
    double working = inFlight - Math.max(0, queued);
    double previous = kindConcurrency[backend.kind()];
    double updated =
        queued >= 1
            ? previous + (working - previous) * CONCURRENCY_GAIN
            : Math.max(previous, working);
    kindConcurrency[backend.kind()] = Math.max(1, updated);
  }

  /** Whether a backend's last report is recent enough to be used. */
  public boolean isFresh(BackendState backend, long now) {
    return backend.reportedAt() > 0 && now - backend.reportedAt() < maxAge;
  }

  /** Cost ahead of a request sent now, divided by the number processed concurrently. */
  public double costAhead(BackendState backend, double meanCost) {
    double concurrency = kindConcurrency[backend.kind()];
    return Math.max(0, backend.reportedInFlight() + 1 - concurrency)
        * meanCost
        / Math.max(1, concurrency);
  }
}
