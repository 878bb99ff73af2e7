package wheattrack.net.client;

/**
 * The number of bytes that were read from clients before they were requested, over all connections,
 * and the limit on it. Runs on the event loop's thread only.
 */
final class ReadAheadBudget {
  /** The limit, in bytes, from which on long bodies are not read ahead. */
  private final long maxBytes = Runtime.getRuntime().maxMemory() / 8;

  private long usedBytes;

  /** Adds this number of bytes, which may be negative. */
  void add(long bytes) {
    usedBytes += bytes;
  }

  /** Whether more may be read ahead of a long body. */
  boolean isAvailable() {
    return usedBytes < maxBytes;
  }
}
