package wheattrack.net.client;

import wheattrack.core.MemoryBudget;

/**
 * The number of bytes that were read from all clients' connections before they were requested, and
 * the limit on this number. Runs on the event loop's thread only.
 */
final class ReadAheadBudget {
  /** The limit is that of the memory of all messages divided by this. */
  private static final int MEMORY_DIVISOR = 4;

  private final MemoryBudget memory;
  private long usedBytes;

  /** Creates a budget that is a part of the memory of all messages. */
  ReadAheadBudget(MemoryBudget memory) {
    this.memory = memory;
  }

  /** Adds this number of bytes; a negative number releases bytes. */
  void add(long bytes) {
    usedBytes += bytes;
  }

  /** Whether more may be read ahead of a long body. */
  boolean isAvailable() {
    return usedBytes < memory.limit() / MEMORY_DIVISOR;
  }

  /**
   * Whether the memory of all messages is used up, so that nothing of a long body is read ahead.
   */
  boolean isMemoryExceeded() {
    return memory.isExceeded();
  }
}
