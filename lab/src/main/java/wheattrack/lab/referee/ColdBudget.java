package wheattrack.lab.referee;

import java.util.ArrayDeque;

/**
 * The load that a backend which has just started sustains from all proxies together. Let N be the
 * requests of mean work that make up a given multiple of its momentary capacity over a window of
 * time; it collapses when a window holds more than N + 2 * sqrt(N) + 2, the excess over N being put
 * down to chance. Times are in tenths of a millisecond. Not thread-safe.
 */
public final class ColdBudget {
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
   * @param window length of the window
   * @param meanWork the work of a mean request
   */
  public ColdBudget(double multiple, long window, double meanWork) {
    this.multiple = multiple;
    this.window = window;
    this.meanWork = meanWork;
  }

  /** Forgets the load so far: the backend has started again. */
  public void clear() {
    arrivals.clear();
    windowWork = 0;
    informedWork = 0;
  }

  /**
   * Adds an arrival and says whether the backend collapses under it. One request alone never makes
   * it collapse, however heavy.
   *
   * @param capacity the work per unit of time that it can do now
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
    return !isFirst && windowWork / meanWork > sustainable + 2 * Math.sqrt(sustainable) + 2;
  }

  private void expire(long now) {
    while (!arrivals.isEmpty() && arrivals.peek().at <= now - window) {
      Arrival expired = arrivals.poll();
      windowWork -= expired.work;
      informedWork -= expired.isInformed ? expired.work : 0;
    }
  }

  /** Whether over two thirds of the load came from notified senders, which makes it a violation. */
  public boolean isSendersFault() {
    return informedWork > windowWork * 2 / 3;
  }

  /** The highest number of requests in a window at an arrival, as a multiple of N. */
  public double peakLoad() {
    return peakLoad;
  }
}
