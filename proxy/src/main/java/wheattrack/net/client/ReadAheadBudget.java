package wheattrack.net.client;

/**
 * The bytes that clients have sent ahead of what is asked for, over all connections, and their
 * bound. Runs on the event loop's thread only.
 */
final class ReadAheadBudget {
  /** Bytes at most, after which long bodies are no longer read ahead. */
  private final long maxBytes = Runtime.getRuntime().maxMemory() / 8;

  private long usedBytes;

  /** Counts so many more bytes, or fewer where the number is negative. */
  void add(long bytes) {
    usedBytes += bytes;
  }

  /** Whether more may be read ahead of a long body. */
  boolean isAvailable() {
    return usedBytes < maxBytes;
  }
}
