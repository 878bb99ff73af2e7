package wheattrack.core;

import java.util.Arrays;

/**
 * All deadlines of the process in one order: a heap whose entries know their place, so any can go
 * early.
 */
public final class TimerQueue {
  /** One deadline; what is to be done goes with it. */
  public static final class Timer {
    private final long deadline;
    private final long sequence;
    private final Runnable task;
    private int heapIndex = -1;

    private Timer(long at, long turn, Runnable then) {
      this.deadline = at;
      this.sequence = turn;
      this.task = then;
    }

    private boolean isBefore(Timer other) {
      return deadline != other.deadline ? deadline < other.deadline : sequence < other.sequence;
    }
  }

  private Timer[] heap = new Timer[64];
  private int size;
  private long turns;

  public Timer add(long at, Runnable then) {
    Timer entry = new Timer(at, ++turns, then);
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    put(entry, size++);
    rise(entry);
    return entry;
  }

  /** Takes an entry out; none, or one that is past or out already, is no matter. */
  public void cancel(Timer entry) {
    if (entry == null || entry.heapIndex < 0) {
      return;
    }
    int hole = entry.heapIndex;
    entry.heapIndex = -1;
    Timer last = heap[--size];
    heap[size] = null;
    if (last != entry) {
      put(last, hole);
      rise(last);
      sink(last);
    }
  }

  /** When the first falls due, or never. */
  public long nextDeadline() {
    return size == 0 ? Long.MAX_VALUE : heap[0].deadline;
  }

  /** Takes out the first if it is due and gives what is to be done, else null. */
  public Runnable pollDue(long now) {
    if (size == 0 || heap[0].deadline > now) {
      return null;
    }
    Timer entry = heap[0];
    cancel(entry);
    return entry.task;
  }

  public int size() {
    return size;
  }

  private void put(Timer entry, int place) {
    heap[place] = entry;
    entry.heapIndex = place;
  }

  private void rise(Timer entry) {
    while (entry.heapIndex > 0) {
      Timer above = heap[(entry.heapIndex - 1) / 2];
      if (!entry.isBefore(above)) {
        return;
      }
      swap(entry, above);
    }
  }

  private void sink(Timer entry) {
    while (2 * entry.heapIndex + 1 < size) {
      int child = 2 * entry.heapIndex + 1;
      if (child + 1 < size && heap[child + 1].isBefore(heap[child])) {
        child++;
      }
      if (!heap[child].isBefore(entry)) {
        return;
      }
      swap(entry, heap[child]);
    }
  }

  private void swap(Timer a, Timer b) {
    int place = a.heapIndex;
    put(a, b.heapIndex);
    put(b, place);
  }
}
