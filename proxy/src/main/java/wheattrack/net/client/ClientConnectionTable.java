package wheattrack.net.client;

import java.util.Comparator;
import wheattrack.core.EvictionPriority;
import wheattrack.core.SlotTable;

/**
 * The clients' connections and the limit on their number: determines whether a further one may be
 * accepted, and evicts connections above the limit. Runs on the event loop's thread only.
 */
final class ClientConnectionTable {
  private static final Comparator<ClientConnection> EVICTION_ORDER =
      Comparator.comparing(ClientConnection::evictionPriority)
          .thenComparingLong(ClientConnection::idleSince);

  /**
   * The number of connections that are accepted above the limit is one, plus the limit divided by
   * this.
   */
  private static final int SURPLUS_DIVISOR = 16;

  private final SlotTable<ClientConnection> connections = new SlotTable<>();
  private int maxConnections;

  /**
   * Creates an empty table.
   *
   * @param maxConnections limit on open connections; a few more are accepted, see {@link #isFull}
   */
  ClientConnectionTable(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Sets the limit on connections from now on; nothing is evicted yet. */
  void setMaxConnections(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Adds a connection, and returns its slot. */
  int add(ClientConnection connection) {
    return connections.add(connection);
  }

  /** Removes the connection in this slot. */
  void remove(int slot) {
    connections.remove(slot);
  }

  /** The number of connections. */
  int size() {
    return connections.size();
  }

  /**
   * Whether no further connection may be accepted. Some are accepted above the limit, so that their
   * requests are rejected rather than left waiting.
   */
  boolean isFull() {
    return connections.size() >= maxConnections + 1 + maxConnections / SURPLUS_DIVISOR;
  }

  /** Whether there are more connections than the limit. */
  boolean hasSurplus() {
    return connections.size() > maxConnections;
  }

  /** Whether at most half of the limit is in use. */
  boolean hasSpareCapacity() {
    return connections.size() <= maxConnections / 2;
  }

  /**
   * Whether more requests are open than the limit on connections. Idle connections, of which some
   * are about to be evicted, do not count.
   */
  boolean hasTooManyRequests() {
    return connections.size() > maxConnections && openRequests() > maxConnections;
  }

  private long openRequests() {
    return connections.all().stream().filter(ClientConnection::hasOpenRequest).count();
  }

  /**
   * Evicts as many connections as there are above the limit, or fewer if not as many may be
   * evicted.
   */
  void evictSurplus() {
    evict(connections.size() - maxConnections);
  }

  /** Evicts this many connections, or fewer if not as many may be evicted. */
  void evict(int count) {
    if (count > 0) {
      connections.all().stream()
          .filter(connection -> connection.evictionPriority() != EvictionPriority.NEVER)
          .sorted(EVICTION_ORDER)
          .limit(count)
          .forEach(ClientConnection::evict);
    }
  }

  /** Evicts all connections whose client takes too long to send the head of a request. */
  void evictSlowHeads() {
    connections.all().stream()
        .filter(connection -> connection.evictionPriority() == EvictionPriority.SLOW_HEAD)
        .forEach(ClientConnection::evict);
  }

  /** Closes all connections that are between two requests. */
  void closeIdle() {
    connections.all().stream().filter(ClientConnection::isIdle).forEach(ClientConnection::close);
  }
}
