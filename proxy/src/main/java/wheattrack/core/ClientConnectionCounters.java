package wheattrack.core;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts since the start of the process how connections of clients ended: which ones were evicted
 * to make room, and what was received on a connection that could no longer be answered. Runs on the
 * event loop's thread only.
 */
public final class ClientConnectionCounters {
  private final Map<EvictionPriority, Long> evictions = new EnumMap<>(EvictionPriority.class);
  private long droppedReads;
  private long failedAccepts;

  /** Counts a connection that was closed to make room, by its priority at that time. */
  public void countEviction(EvictionPriority priority) {
    evictions.merge(priority, 1L, Long::sum);
  }

  /** Connections of this priority that were closed to make room. */
  public long evictions(EvictionPriority priority) {
    return evictions.getOrDefault(priority, 0L);
  }

  /** Counts a read that brought bytes after its connection was closed: they are lost. */
  public void countDroppedRead() {
    droppedReads++;
  }

  /** Reads that brought bytes after their connection was closed. */
  public long droppedReads() {
    return droppedReads;
  }

  /** Counts an accept that failed. */
  public void countFailedAccept() {
    failedAccepts++;
  }

  /** Accepts that failed, mostly because descriptors had run out. */
  public long failedAccepts() {
    return failedAccepts;
  }
}
