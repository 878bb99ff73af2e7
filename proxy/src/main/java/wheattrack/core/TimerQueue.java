package wheattrack.core;

import java.util.Arrays;

/**
 * All timers of the process, ordered by deadline: a binary heap whose entries hold their index, so
 * that any of them can be cancelled in logarithmic time. Timers with the same deadline run in the
 * order in which they were added. Not thread-safe.
 */
public final class TimerQueue {
  private static final int INITIAL_CAPACITY = 64;
  private static final int NOT_QUEUED = -1;

  /** One timer: a deadline and the task that runs when it is reached. */
  public static final class Timer {
    private final long deadline;
    private final long sequence;
    private final Runnable task;
    private int heapIndex = NOT_QUEUED;

    private Timer(long deadline, long sequence, Runnable task) {
      this.deadline = deadline;
      this.sequence = sequence;
      this.task = task;
    }

    private boolean isBefore(Timer other) {
      return deadline != other.deadline ? deadline < other.deadline : sequence < other.sequence;
    }
  }

  private Timer[] heap = new Timer[INITIAL_CAPACITY];
  private int size;
  private long lastSequence;

  /**
   * Adds a timer.
   *
   * @param deadline the time from which it is due, in the unit and on the clock of {@link #pollDue}
   */
  public Timer add(long deadline, Runnable task) {
    Timer timer = new Timer(deadline, ++lastSequence, task);
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    place(timer, size++);
    siftUp(timer);
    return timer;
  }

  /** Removes a timer; does nothing if it is null, has run or was cancelled before. */
  public void cancel(Timer timer) {
    if (timer == null || timer.heapIndex == NOT_QUEUED) {
      return;
    }
    int freedIndex = timer.heapIndex;
    timer.heapIndex = NOT_QUEUED;
    Timer last = heap[--size];
    heap[size] = null;
    if (last != timer) {
      place(last, freedIndex);
      siftUp(last);
      siftDown(last);
    }
  }

  /** The earliest deadline, or {@link Long#MAX_VALUE} if there is none. */
  public long nextDeadline() {
    return size == 0 ? Long.MAX_VALUE : heap[0].deadline;
  }

  /** Removes the first timer and returns its task if it is due at this time, else returns null. */
  public Runnable pollDue(long now) {
    if (size == 0 || heap[0].deadline > now) {
      return null;
    }
    Timer first = heap[0];
    cancel(first);
    return first.task;
  }

  /** The number of timers. */
  public int size() {
    return size;
  }

  private void place(Timer timer, int heapIndex) {
    heap[heapIndex] = timer;
    timer.heapIndex = heapIndex;
  }

  private void siftUp(Timer timer) {
    while (timer.heapIndex > 0) {
      Timer parent = heap[(timer.heapIndex - 1) / 2];
      if (!timer.isBefore(parent)) {
        return;
      }
      swap(timer, parent);
    }
  }

  private void siftDown(Timer timer) {
    while (2 * timer.heapIndex + 1 < size) {
      int child = 2 * timer.heapIndex + 1;
      if (child + 1 < size && heap[child + 1].isBefore(heap[child])) {
        child++;
      }
      if (!heap[child].isBefore(timer)) {
        return;
      }
      swap(timer, heap[child]);
    }
  }

  private void swap(Timer a, Timer b) {
    int heapIndex = a.heapIndex;
    place(a, b.heapIndex);
    place(b, heapIndex);
  }
}
