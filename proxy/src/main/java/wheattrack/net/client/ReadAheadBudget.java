package wheattrack.net.client;

/**
 * The number of bytes that were read from all clients' connections before they were requested, and
 * the limit on this number. Runs on the event loop's thread only.
 */
final class ReadAheadBudget {
  /** The limit is the maximum size of the heap divided by this. */
  private static final int HEAP_DIVISOR = 8;

  /** The number of bytes from which on long bodies are not read ahead. */
  private final long maxBytes = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;

  private long usedBytes;

  /** Adds this number of bytes; a negative number releases bytes. */
  void add(long bytes) {
    usedBytes += bytes;
  }

  /** Whether more may be read ahead of a long body. */
  boolean isAvailable() {
    return usedBytes < maxBytes;
  }
}
