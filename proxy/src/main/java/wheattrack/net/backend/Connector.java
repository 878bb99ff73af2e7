package wheattrack.net.backend;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.Comparator;
import java.util.Optional;
import wheattrack.aio.EventLoop;
import wheattrack.core.BackendConnectionCounters;
import wheattrack.core.ConnectReason;
import wheattrack.core.MemoryBudget;
import wheattrack.core.SlotTable;
import wheattrack.log.EventLog;

/**
 * Opens connections to backends up to a limit; when it is reached, the connection that has been
 * idle longest is closed for a new one. Times are tenths of a millisecond. Runs on the event loop's
 * thread only.
 */
public final class Connector {
  /** The idle timeout as a fraction of the time after which a backend closes an idle connection. */
  private static final double IDLE_TIMEOUT_FRACTION = 0.8;

  /**
   * The quarantine of a connection after a response, as a fraction of the connect timeout. Most
   * surplus bytes arrive within it, before the next request is sent; {@link ResponseMatcher}
   * recognizes a second copy that arrives later.
   */
  private static final double QUARANTINE_FRACTION = 0.04;

  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final long maxBodyBytes;
  private final MemoryBudget memoryBudget;
  private final SlotTable<BackendConnection> connections = new SlotTable<>();
  private final RecentResponses recentResponses = new RecentResponses();
  private final BackendConnectionCounters counters = new BackendConnectionCounters();
  private int maxConnections;
  private long connectTimeout;
  private long idleTimeout;

  /**
   * Creates a connector without connections.
   *
   * @param maxConnections limit on the number of connections to all backends
   * @param maxBodyBytes length of the longest response body, in bytes
   * @param memoryBudget the memory that all connections may hold for messages
   * @param connectTimeout how long connecting may take
   * @param backendIdleTimeout time after which a backend closes an idle connection; 0: never
   */
  public Connector(
      EventLoop loop,
      AsynchronousChannelGroup group,
      int maxConnections,
      long maxBodyBytes,
      MemoryBudget memoryBudget,
      long connectTimeout,
      long backendIdleTimeout) {
    this.loop = loop;
    this.group = group;
    this.maxConnections = maxConnections;
    this.maxBodyBytes = maxBodyBytes;
    this.memoryBudget = memoryBudget;
    setTimeouts(connectTimeout, backendIdleTimeout);
  }

  /** The loop on which all connections run. */
  EventLoop loop() {
    return loop;
  }

  /** Length of the longest response body, in bytes. */
  long maxBodyBytes() {
    return maxBodyBytes;
  }

  /** The memory that all connections may hold for messages. */
  MemoryBudget memoryBudget() {
    return memoryBudget;
  }

  /** The responses received most recently. */
  RecentResponses recentResponses() {
    return recentResponses;
  }

  /** The counters of connections, by reason. */
  public BackendConnectionCounters counters() {
    return counters;
  }

  /** How long a connection may be idle; 0: without limit. */
  long idleTimeout() {
    return idleTimeout;
  }

  /** How long a connection is in quarantine after a response, before it carries another request. */
  long quarantineTime() {
    return (long) (QUARANTINE_FRACTION * connectTimeout);
  }

  /**
   * Sets the timeouts, also for connections that are already idle.
   *
   * @param connectTimeout how long connecting may take
   * @param backendIdleTimeout time after which a backend closes an idle connection; 0: never
   */
  public void setTimeouts(long connectTimeout, long backendIdleTimeout) {
    this.connectTimeout = connectTimeout;
    idleTimeout = (long) (IDLE_TIMEOUT_FRACTION * backendIdleTimeout);
    connections.all().stream()
        .filter(BackendConnection::isIdle)
        .forEach(BackendConnection::restartIdleTimeout);
  }

  /** Sets the limit on connections from now on; surplus idle ones are closed. */
  public void setMaxConnections(int maxConnections) {
    this.maxConnections = maxConnections;
    boolean mayClose = true;
    while (mayClose && connections.size() > maxConnections) {
      mayClose = closeLongestIdle();
    }
  }

  private boolean closeLongestIdle() {
    Optional<BackendConnection> longestIdle =
        connections.all().stream()
            .filter(BackendConnection::isIdle)
            .min(Comparator.comparingLong(BackendConnection::idleSince));
    longestIdle.ifPresent(BackendConnection::close);
    return longestIdle.isPresent();
  }

  /**
   * Starts to connect to the pool's backend.
   *
   * @param reason why it is opened
   * @throws IOException if no file descriptor is left, or if the limit is reached and no connection
   *     is idle
   */
  BackendConnection connect(BackendConnectionPool pool, ConnectReason reason) throws IOException {
    if (connections.size() >= maxConnections) {
      closeLongestIdle();
    }
    if (connections.size() >= maxConnections) {
      throw new IOException(maxConnections + " connections to backends are open");
    }
    BackendConnection connection =
        new BackendConnection(pool, AsynchronousSocketChannel.open(group), this);
    connection.startConnecting(connectTimeout);
    counters.countOpened(reason);
    EventLog.detail("connection opened", pool.id(), reason::name);
    return connection;
  }

  /** Registers a new connection, and returns its slot. */
  int register(BackendConnection connection) {
    return connections.add(connection);
  }

  /** Removes the connection in this slot, which has closed. */
  void onClosed(int slot) {
    connections.remove(slot);
  }

  /** Closes all connections. */
  public void closeAll() {
    connections.all().forEach(BackendConnection::close);
  }
}
