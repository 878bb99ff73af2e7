package wheattrack.net;

import wheattrack.config.ProxyConfig;

/** How much memory a process may hold for messages, by its configuration and its heap. */
final class MessageMemory {
  /** Messages may take the heap divided by this; the rest is for the program and for garbage. */
  private static final int HEAP_DIVISOR = 2;

  /** Share of the memory of the whole process that messages may take. */
  private static final double PROCESS_SHARE = 3.0 / 16;

  /** Lower bound of the limit, in bytes, with which single requests can still be served. */
  private static final long MIN_LIMIT = 1 << 20;

  private MessageMemory() {}

  /**
   * The limit in bytes.
   *
   * @param isOtherProcessPresent whether two processes of this proxy run at the same time: each has
   *     half of the configured memory then
   */
  static long limit(ProxyConfig config, boolean isOtherProcessPresent) {
    long heapShare = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
    double processShare = PROCESS_SHARE * config.maxMemoryBytes();
    double limit = Math.min(heapShare, isOtherProcessPresent ? processShare / 2 : processShare);
    return Math.max(MIN_LIMIT, (long) limit);
  }
}
