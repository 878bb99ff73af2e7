package wheattrack.net;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.Comparator;
import wheattrack.aio.EventLoop;
import wheattrack.core.SlotTable;

/**
 * Opens connections to backends, within the budget of descriptors; at its limit an idle one gives
 * way.
 */
final class Connector {
  /** Of the time after which a backend closes an idle connection: ours are closed by then. */
  private static final double IDLE_PART = 0.8;

  /**
   * Of the time that a dial may take: within it a spoilt second answer shows, some milliseconds
   * late.
   */
  private static final double SETTLE_PART = 0.04;

  final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private int most;

  /** Bytes of the longest answer. */
  final long maxBodyBytes;

  private long timeout;

  /** How long a connection may rest, or 0 for ever. */
  long idleTimeout;

  private final SlotTable<BackendConnection> table = new SlotTable<>();

  Connector(
      EventLoop loop,
      AsynchronousChannelGroup group,
      int most,
      long mostBody,
      long timeout,
      long idleClose) {
    this.maxBodyBytes = mostBody;
    this.loop = loop;
    this.group = group;
    this.most = most;
    setTimeouts(timeout, idleClose);
  }

  /** From now on; what rests already is closed by the new time too. */
  void setTimeouts(long timeout, long idleClose) {
    this.timeout = timeout;
    idleTimeout = (long) (IDLE_PART * idleClose);
    table.all().stream()
        .filter(BackendConnection::isIdle)
        .forEach(BackendConnection::restartIdleTimeout);
  }

  /** After an answer, how long until a connection carries another req. */
  long quarantineTime() {
    return (long) (SETTLE_PART * timeout);
  }

  /** So many connections may be had from now on; surplus ones at rest are closed. */
  void setMaxConnections(int most) {
    this.most = most;
    while (table.size() > most && freeOne()) {
      continue;
    }
  }

  private boolean freeOne() {
    var first =
        table.all().stream()
            .filter(BackendConnection::isIdle)
            .min(Comparator.comparingLong(BackendConnection::idleSince));
    first.ifPresent(BackendConnection::close);
    return first.isPresent();
  }

  /** Starts making a connection; not where descriptors have run out. */
  BackendConnection connect(BackendConnectionPool to) throws IOException {
    if (table.size() >= most) {
      freeOne();
    }
    if (table.size() >= most) {
      throw new IOException(most + " connections to backends are open");
    }
    BackendConnection up = new BackendConnection(to, AsynchronousSocketChannel.open(group), this);
    up.slot = table.add(up);
    up.startConnecting(timeout);
    return up;
  }

  void onClosed(BackendConnection up) {
    table.remove(up.slot);
  }

  void closeAll() {
    table.all().forEach(BackendConnection::close);
  }
}
