package wheattrack.lab.referee;

import java.util.ArrayDeque;

/**
 * The load that a backend which has just started sustains from all proxies together. Let N be the
 * number of requests of mean work that equals a given multiple of the backend's current capacity
 * over a window of time. The backend collapses when the work that arrives in a window exceeds that
 * of N + 2 * sqrt(N) + 2 requests; the margin over N allows for random variation of the arrivals.
 * Times are in tenths of a millisecond. Not thread-safe.
 */
public final class ColdBudget {
  /** Standard deviations, sqrt(N) each, of the margin over N. */
  private static final double MARGIN_DEVIATIONS = 2;

  /** Requests of mean work that the margin over N has besides. */
  private static final double MARGIN_REQUESTS = 2;

  private record Arrival(long at, double work, boolean isInformed) {}

  private final double multiple;
  private final long window;
  private final double meanWork;
  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
  private double windowWork;
  private double informedWork;
  private double peakLoad;

  /**
   * Creates an empty budget.
   *
   * @param multiple the multiple of its capacity that the backend sustains
   * @param window length of the window in tenths of a millisecond
   * @param meanWork mean work of a request, in tenths of a millisecond at speed 1
   */
  public ColdBudget(double multiple, long window, double meanWork) {
    this.multiple = multiple;
    this.window = window;
    this.meanWork = meanWork;
  }

  /** Forgets the load so far; called when the backend has started again. */
  public void clear() {
    arrivals.clear();
    windowWork = 0;
    informedWork = 0;
  }

  /**
   * Adds an arrival and says whether the backend collapses under it. One request alone never makes
   * it collapse, however heavy.
   *
   * @param at when it arrives; not before the arrivals already added
   * @param work its work, in tenths of a millisecond at speed 1
   * @param capacity the work per unit of time that the backend can do now
   * @param isInformed whether the sender had been notified of the start
   */
  public boolean add(long at, double work, double capacity, boolean isInformed) {
    expire(at);
    double sustainable = multiple * capacity * window / meanWork;
    boolean isFirst = arrivals.isEmpty();
    if (!isFirst) {
      peakLoad = Math.max(peakLoad, windowWork / meanWork / sustainable);
    }
    arrivals.add(new Arrival(at, work, isInformed));
    windowWork += work;
    informedWork += isInformed ? work : 0;
    return !isFirst
        && windowWork / meanWork
            > sustainable + MARGIN_DEVIATIONS * Math.sqrt(sustainable) + MARGIN_REQUESTS;
  }

  private void expire(long now) {
    while (!arrivals.isEmpty() && arrivals.peek().at <= now - window) {
      Arrival expired = arrivals.poll();
      windowWork -= expired.work;
      informedWork -= expired.isInformed ? expired.work : 0;
    }
  }

  /**
   * Whether more than two thirds of the work in the window came from senders that had been notified
   * of the start, so that a collapse is a violation.
   */
  public boolean isCausedByInformedSenders() {
    return informedWork > windowWork * 2 / 3;
  }

  /**
   * The most work that a window held when a request arrived, that request excluded, as a multiple
   * of the work of N requests.
   */
  public double peakLoad() {
    return peakLoad;
  }
}
