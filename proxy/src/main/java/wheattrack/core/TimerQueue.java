package wheattrack.core;

import java.util.Arrays;

/**
 * All deadlines of the process in one order: a heap whose entries know their place, so any can go
 * early.
 */
public final class TimerQueue {
  /** One deadline; what is to be done goes with it. */
  public static final class Entry {
    private final long at;
    private final long turn;
    private final Runnable then;
    private int place = -1;

    private Entry(long at, long turn, Runnable then) {
      this.at = at;
      this.turn = turn;
      this.then = then;
    }

    private boolean isBefore(Entry other) {
      return at != other.at ? at < other.at : turn < other.turn;
    }
  }

  private Entry[] heap = new Entry[64];
  private int size;
  private long turns;

  public Entry add(long at, Runnable then) {
    Entry entry = new Entry(at, ++turns, then);
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    put(entry, size++);
    rise(entry);
    return entry;
  }

  /** Takes an entry out; none, or one that is past or out already, is no matter. */
  public void cancel(Entry entry) {
    if (entry == null || entry.place < 0) {
      return;
    }
    int hole = entry.place;
    entry.place = -1;
    Entry last = heap[--size];
    heap[size] = null;
    if (last != entry) {
      put(last, hole);
      rise(last);
      sink(last);
    }
  }

  /** When the first falls due, or never. */
  public long first() {
    return size == 0 ? Long.MAX_VALUE : heap[0].at;
  }

  /** Takes out the first if it is due and gives what is to be done, else null. */
  public Runnable due(long now) {
    if (size == 0 || heap[0].at > now) {
      return null;
    }
    Entry entry = heap[0];
    cancel(entry);
    return entry.then;
  }

  public int size() {
    return size;
  }

  private void put(Entry entry, int place) {
    heap[place] = entry;
    entry.place = place;
  }

  private void rise(Entry entry) {
    while (entry.place > 0) {
      Entry above = heap[(entry.place - 1) / 2];
      if (!entry.isBefore(above)) {
        return;
      }
      swap(entry, above);
    }
  }

  private void sink(Entry entry) {
    while (2 * entry.place + 1 < size) {
      int child = 2 * entry.place + 1;
      if (child + 1 < size && heap[child + 1].isBefore(heap[child])) {
        child++;
      }
      if (!heap[child].isBefore(entry)) {
        return;
      }
      swap(entry, heap[child]);
    }
  }

  private void swap(Entry a, Entry b) {
    int place = a.place;
    put(a, b.place);
    put(b, place);
  }
}
