package wheattrack.net;

import wheattrack.admin.AdminServer;
import wheattrack.config.ProxyConfig;

/**
 * The division of the process's file descriptors. Some are reserved for the program itself; clients
 * and backends each get a share of the rest, and the remainder is for surplus clients, which are
 * accepted only to be rejected.
 *
 * @param clients maximum number of connections from clients
 * @param backends maximum number of connections to backends
 */
record DescriptorBudget(int clients, int backends) {
  /** Lower bound of the descriptors reserved for the program itself. */
  private static final int MIN_RESERVED = 32;

  /** The descriptors reserved for the program itself are all descriptors divided by this. */
  private static final int RESERVED_DIVISOR = 16;

  /** Share of the unreserved descriptors that is for connections from clients. */
  private static final double CLIENT_SHARE = 0.58;

  /** Share of the unreserved descriptors that is for connections to backends. */
  private static final double BACKEND_SHARE = 0.36;

  /** Lower bound of the descriptors for clients and backends together. */
  private static final int MIN_SHARED = 8;

  /**
   * The budget of one process.
   *
   * @param isOtherProcessPresent whether two processes of this proxy run at the same time: each has
   *     half of all descriptors then
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
