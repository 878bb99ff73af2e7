package wheattrack.core;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts, since the start of the process, client connections that were evicted to make room for
 * others, reads that returned bytes after their connection was closed, and failed accepts. Runs on
 * the event loop's thread only.
 */
public final class ClientConnectionCounters {
  private final Map<EvictionPriority, Long> evictions = new EnumMap<>(EvictionPriority.class);
  private long droppedReads;
  private long failedAccepts;

  /** Counts a connection that was closed to make room, by its priority at that time. */
  public void countEviction(EvictionPriority priority) {
    evictions.merge(priority, 1L, Long::sum);
  }

  /** The number of connections that had this priority when they were closed to make room. */
  public long evictions(EvictionPriority priority) {
    return evictions.getOrDefault(priority, 0L);
  }

  /** Counts a read that returned bytes after its connection was closed; the bytes are dropped. */
  public void countDroppedRead() {
    droppedReads++;
  }

  /** The number of reads that returned bytes after their connection was closed. */
  public long droppedReads() {
    return droppedReads;
  }

  /** Counts an accept that failed. */
  public void countFailedAccept() {
    failedAccepts++;
  }

  /** The number of accepts that failed, usually because no file descriptor was free. */
  public long failedAccepts() {
    return failedAccepts;
  }
}
