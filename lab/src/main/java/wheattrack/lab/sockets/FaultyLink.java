package wheattrack.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheattrack.aio.TcpConnection;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Fault.Kind;
import wheattrack.lab.scenario.Scenario;

/**
 * The link between one proxy and one backend: a TCP relay that forwards bytes in chunks, and
 * applies a fault to them while it has one. LINK_DELAY delays each chunk. LINK_DROP delays a share
 * of the chunks as if they had been lost and retransmitted. LINK_HOLD forwards nothing until it
 * ends. LINK_CUT ends each connection after a number of bytes from the backend. LINK_RESET resets
 * all connections, also new ones. LINK_CORRUPT flips one bit in each chunk from the backend. Times
 * are tenths of a millisecond. Runs on the run's thread only.
 */
final class FaultyLink {
  /** The delay of a chunk that was lost and retransmitted. */
  private static final long RETRANSMIT_DELAY = 2_000;

  /** The most bytes of one chunk. */
  private static final int BUFFER_SIZE = 8192;

  /** Bytes from the backend that are forwarded before LINK_CUT ends the connection. */
  private static final int CUT_AFTER_BYTES = 40;

  /** How long {@link #sentAt} remembers a closed connection. */
  private static final long SENT_TIME_RETENTION = Scenario.SECOND;

  private final SocketRun run;
  private final int backendPort;
  private final RandomStream random;
  private final LoopbackListener listener;
  private final Set<Side> sides = new LinkedHashSet<>();

  /** The sides towards the proxy, by the local port of the connection to the backend. */
  private final Map<Integer, Side> proxySideByPort = new HashMap<>();

  private Fault activeFault;

  FaultyLink(SocketRun run, int backendPort, RandomStream random) {
    this.run = run;
    this.backendPort = backendPort;
    this.random = random;
    listener =
        new LoopbackListener(
            run, LoopbackListener.ANY_PORT, LoopbackListener.LARGE_BACKLOG, this::openConnection);
  }

  /** The port to which the proxy connects to reach the backend. */
  int port() {
    return listener.port();
  }

  /** Sets the fault of the link, or ends it with null. */
  void setFault(Fault fault) {
    activeFault = fault;
    if (hasFault(Kind.LINK_RESET)) {
      List.copyOf(sides).forEach(Side::reset);
    } else if (fault == null) {
      List.copyOf(sides).forEach(Side::release);
    }
  }

  /**
   * When the proxy sent the last bytes on the connection that reaches the backend from this port.
   */
  long sentAt(int port) {
    Side proxySide = proxySideByPort.get(port);
    return proxySide == null ? run.now() : proxySide.receivedAt;
  }

  private boolean hasFault(Kind kind) {
    return activeFault != null && activeFault.kind() == kind;
  }

  private void openConnection(AsynchronousSocketChannel channel) {
    Side proxySide = new Side(channel, false);
    if (hasFault(Kind.LINK_RESET)) {
      proxySide.reset();
      return;
    }
    try {
      Side backendSide = new Side(AsynchronousSocketChannel.open(run.group()), true);
      proxySide.peer = backendSide;
      backendSide.peer = proxySide;
      backendSide.connect(
          new InetSocketAddress(SocketRun.LOOPBACK, backendPort),
          () -> {
            backendSide.port = backendSide.localPort();
            proxySideByPort.put(backendSide.port, proxySide);
            proxySide.open();
            backendSide.open();
          },
          proxySide::reset);
    } catch (IOException e) {
      proxySide.reset();
    }
  }

  /** One side of a connection: bytes received here are sent by the peer. */
  private final class Side extends TcpConnection {
    private final AsynchronousSocketChannel channel;
    private final boolean fromBackend;
    private ByteBuffer buffer = ByteBuffer.allocate(BUFFER_SIZE);
    private Side peer;
    private long lastDelivery;
    private long receivedAt;
    private int port;
    private int bytesForwarded;
    private boolean isHoldingBytes;

    Side(AsynchronousSocketChannel channel, boolean fromBackend) {
      super(run.loop(), channel);
      this.channel = channel;
      this.fromBackend = fromBackend;
      sides.add(this);
    }

    int localPort() {
      try {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
      } catch (IOException e) {
        return 0;
      }
    }

    void open() {
      read(buffer);
    }

    @Override
    protected void onRead(int byteCount) {
      if (byteCount < 0) {
        forward(null);
        return;
      }
      if (byteCount > 0) {
        receivedAt = run.now();
      }
      if (hasFault(Kind.LINK_HOLD)) {
        isHoldingBytes = true;
        return;
      }
      forwardBuffer();
    }

    /** Forwards the bytes that LINK_HOLD has held back, if any. */
    void release() {
      if (isHoldingBytes && !isClosed()) {
        isHoldingBytes = false;
        forwardBuffer();
      }
    }

    private void forwardBuffer() {
      forward(buffer.flip());
      buffer = ByteBuffer.allocate(BUFFER_SIZE);
      read(buffer);
    }

    /**
     * Forwards a chunk, or the end of the stream with null, in order and after the delay that the
     * fault adds now.
     */
    private void forward(ByteBuffer chunk) {
      lastDelivery = Math.max(lastDelivery, run.now() + addedDelay());
      if (lastDelivery > run.now()) {
        run.schedule(lastDelivery - run.now(), () -> deliver(chunk));
      } else {
        deliver(chunk);
      }
    }

    private long addedDelay() {
      if (hasFault(Kind.LINK_DELAY)) {
        return Math.round(activeFault.magnitude() * Scenario.MILLISECOND);
      }
      if (hasFault(Kind.LINK_DROP) && random.nextBoolean(activeFault.magnitude())) {
        return RETRANSMIT_DELAY;
      }
      return 0;
    }

    private void deliver(ByteBuffer chunk) {
      if (chunk == null) {
        peer.close();
        close();
      } else if (!peer.isClosed()) {
        applyFault(chunk);
        peer.write(chunk);
        bytesForwarded += chunk.limit();
        if (fromBackend && hasFault(Kind.LINK_CUT) && bytesForwarded >= CUT_AFTER_BYTES) {
          peer.shutdownOutput();
          reset();
        }
      }
    }

    private void applyFault(ByteBuffer chunk) {
      if (fromBackend && hasFault(Kind.LINK_CUT)) {
        int remaining = Math.max(0, CUT_AFTER_BYTES - bytesForwarded);
        chunk.limit(Math.min(chunk.limit(), remaining));
      } else if (fromBackend && hasFault(Kind.LINK_CORRUPT) && chunk.limit() > 0) {
        int position = random.nextInt(chunk.limit());
        int flippedBit = 1 << random.nextInt(Byte.SIZE);
        chunk.put(position, (byte) (chunk.get(position) ^ flippedBit));
      }
    }

    @Override
    protected void onWritten(boolean complete) {
      if (!complete) {
        reset();
      }
    }

    /** Resets the connection on both sides, so that proxy and backend notice immediately. */
    void reset() {
      resetThisSide();
      if (peer != null) {
        peer.resetThisSide();
      }
    }

    private void resetThisSide() {
      LoopbackListener.resetOnClose(channel);
      close();
    }

    @Override
    public void close() {
      super.close();
      if (sides.remove(this) && port > 0) {
        // the backend may not have read the last bytes yet
        run.schedule(SENT_TIME_RETENTION, () -> proxySideByPort.remove(port));
      }
    }
  }
}
