package wheattrack.net.backend;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.Comparator;
import java.util.Optional;
import wheattrack.aio.EventLoop;
import wheattrack.core.SlotTable;

/**
 * Opens connections to backends up to a limit; when it is reached, an idle one is closed for a new
 * one. Times are tenths of a millisecond. Runs on the event loop's thread only.
 */
public final class Connector {
  /** Part of the time after which a backend closes an idle connection: ours are closed by then. */
  private static final double IDLE_TIMEOUT_PART = 0.8;

  /**
   * Part of the connect timeout that a connection is in quarantine after a response: within it a
   * malformed second response shows, some milliseconds late.
   */
  private static final double QUARANTINE_PART = 0.04;

  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final long maxBodyBytes;
  private final SlotTable<BackendConnection> connections = new SlotTable<>();
  private int maxConnections;
  private long connectTimeout;
  private long idleTimeout;

  /**
   * Creates a connector without connections.
   *
   * @param maxConnections limit on the number of connections to all backends
   * @param maxBodyBytes bytes of the longest response body
   * @param connectTimeout how long connecting may take
   * @param backendIdleTimeout after which time a backend closes an idle connection, or 0 for never
   */
  public Connector(
      EventLoop loop,
      AsynchronousChannelGroup group,
      int maxConnections,
      long maxBodyBytes,
      long connectTimeout,
      long backendIdleTimeout) {
    this.loop = loop;
    this.group = group;
    this.maxConnections = maxConnections;
    this.maxBodyBytes = maxBodyBytes;
    setTimeouts(connectTimeout, backendIdleTimeout);
  }

  /** The loop on which all connections run. */
  EventLoop loop() {
    return loop;
  }

  /** Bytes of the longest response body. */
  long maxBodyBytes() {
    return maxBodyBytes;
  }

  /** How long a connection may be idle, or 0 for ever. */
  long idleTimeout() {
    return idleTimeout;
  }

  /** How long a connection is in quarantine after a response, before it carries another request. */
  long quarantineTime() {
    return (long) (QUARANTINE_PART * connectTimeout);
  }

  /**
   * Sets the timeouts in force from now on, also for connections that are already idle.
   *
   * @param connectTimeout how long connecting may take
   * @param backendIdleTimeout after which time a backend closes an idle connection, or 0 for never
   */
  public void setTimeouts(long connectTimeout, long backendIdleTimeout) {
    this.connectTimeout = connectTimeout;
    idleTimeout = (long) (IDLE_TIMEOUT_PART * backendIdleTimeout);
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
   * @throws IOException if no descriptor is left or the limit is reached
   */
  BackendConnection connect(BackendConnectionPool pool) throws IOException {
    if (connections.size() >= maxConnections) {
      closeLongestIdle();
    }
    if (connections.size() >= maxConnections) {
      throw new IOException(maxConnections + " connections to backends are open");
    }
    BackendConnection connection =
        new BackendConnection(pool, AsynchronousSocketChannel.open(group), this);
    connection.startConnecting(connectTimeout);
    return connection;
  }

  /** Registers a new connection, and returns its slot. */
  int register(BackendConnection connection) {
    return connections.add(connection);
  }

  /** The connection in this slot has closed. */
  void onClosed(int slot) {
    connections.remove(slot);
  }

  /** Closes all connections. */
  public void closeAll() {
    connections.all().forEach(BackendConnection::close);
  }
}
