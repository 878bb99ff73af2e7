package wheattrack.lab.referee;

import java.util.ArrayDeque;

/**
 * What a server that has just started bears from all proxies together: within any window of the
 * fall time N requests of mean work, by the fall multiple of what it can do at that moment, and
 * what is put down to chance beyond them, 2 x root of N + 2. Pure; times in tenths of a
 * millisecond.
 */
public final class ColdBudget {
  private record Load(long at, double work, boolean knowing) {}

  private final double multiple, mean;
  private final long window;
  private final ArrayDeque<Load> loads = new ArrayDeque<>();
  private double sum, knowing, most;

  /** mean: the work of a mean request. */
  public ColdBudget(double multiple, long window, double mean) {
    this.multiple = multiple;
    this.window = window;
    this.mean = mean;
  }

  /** It has started anew: what came before no longer weighs. */
  public void clear() {
    loads.clear();
    sum = knowing = 0;
  }

  /**
   * Work comes while it can do so much a unit of time; known: the sender had been told of the
   * start. Says whether the server falls over; one request alone never does that, however heavy.
   */
  public boolean add(long at, double work, double capacity, boolean known) {
    while (!loads.isEmpty() && loads.peek().at <= at - window) {
      Load old = loads.poll();
      sum -= old.work;
      knowing -= old.knowing ? old.work : 0;
    }
    double n = multiple * capacity * window / mean;
    most = loads.isEmpty() ? most : Math.max(most, sum / mean / n);
    boolean first = loads.isEmpty();
    loads.add(new Load(at, work, known));
    sum += work;
    knowing += known ? work : 0;
    return !first && sum / mean > n + 2 * Math.sqrt(n) + 2;
  }

  /** Whether over two thirds of the load came from senders that knew: then it is their fault. */
  public boolean isBreak() {
    return knowing > sum * 2 / 3;
  }

  /** The most that lay in a window as one request more came, in parts of N. */
  public double most() {
    return most;
  }
}
