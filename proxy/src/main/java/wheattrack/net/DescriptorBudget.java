package wheattrack.net;

import wheattrack.admin.AdminServer;
import wheattrack.config.ProxyConfig;

/**
 * How the process's file descriptors are divided. Some are reserved for the program itself; clients
 * and backends each get a share of the rest, and the remainder is for surplus clients, which are
 * accepted only to be rejected.
 *
 * @param clients connections of clients
 * @param backends connections to backends
 */
record DescriptorBudget(int clients, int backends) {
  /** Descriptors reserved for the program itself: at least this number, and this part of all. */
  private static final int MIN_RESERVED = 32;

  private static final int RESERVED_DIVISOR = 16;

  private static final double CLIENT_SHARE = 0.58;
  private static final double BACKEND_SHARE = 0.36;

  /** Lower bound of the descriptors for clients and backends together. */
  private static final int MIN_SHARED = 8;

  /**
   * The budget of one process.
   *
   * @param isOtherProcessPresent whether two processes of this proxy run beside each other: each
   *     has half of all descriptors then
   */
  static DescriptorBudget of(ProxyConfig config, boolean isOtherProcessPresent) {
    int adminDescriptors = config.admin() == null ? 0 : 1 + AdminServer.MAX_CONNECTIONS;
    int reserved =
        Math.max(MIN_RESERVED, config.maxDescriptors() / RESERVED_DIVISOR) + adminDescriptors;
    int total = isOtherProcessPresent ? config.maxDescriptors() / 2 : config.maxDescriptors();
    int shared = Math.max(MIN_SHARED, total - reserved);
    return new DescriptorBudget((int) (CLIENT_SHARE * shared), (int) (BACKEND_SHARE * shared));
  }
}
