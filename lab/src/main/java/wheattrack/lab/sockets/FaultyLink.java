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
 * The link between one proxy and one backend: forwards bytes, and disturbs them while it has a
 * fault. DELAY: each piece is late. DROP: a share of pieces is as late as a retransmitted packet.
 * HOLD: nothing passes until it ends. CUT: a backend's answer ends after a number of bytes. RESET:
 * connections break at once, and new ones too. CORRUPT: a bit in each piece from the backend is
 * flipped. Runs on the run's thread only.
 */
final class FaultyLink {
  /** The delay of a packet that was lost and retransmitted. */
  private static final long RETRANSMIT_DELAY = 2_000;

  /** The most bytes that pass in one piece. */
  private static final int BUFFER_SIZE = 8192;

  /** Bytes of an answer that pass before it is cut. */
  private static final int CUT_AFTER_BYTES = 40;

  /** How long it is known when a closed connection's last bytes were sent. */
  private static final long SENT_TIME_KEPT = Scenario.SECOND;

  private final SocketRun run;
  private final int backendPort;
  private final RandomStream random;
  private final LoopbackListener listener;
  private final Set<Side> sides = new LinkedHashSet<>();

  /** The sides towards the proxy, by the port that the backend sees. */
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

  /** The port at which the proxy finds the backend. */
  int port() {
    return listener.port();
  }

  /** Puts a fault on the link, or none with null. */
  void setFault(Fault fault) {
    activeFault = fault;
    if (hasFault(Kind.LINK_RESET)) {
      List.copyOf(sides).forEach(Side::reset);
    } else if (fault == null) {
      List.copyOf(sides).forEach(Side::release);
    }
  }

  /** When the proxy sent what the backend has now received from this port of the link. */
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

  /** One side of a connection; what arrives here leaves at the peer. */
  private final class Side extends TcpConnection {
    private final AsynchronousSocketChannel channel;
    private final boolean fromBackend;
    private ByteBuffer buffer = ByteBuffer.allocate(BUFFER_SIZE);
    private Side peer;
    private long lastDelivery;
    private long receivedAt;
    private int port;
    private int bytesPassed;
    private boolean held;

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
        pass(null);
        return;
      }
      if (byteCount > 0) {
        receivedAt = run.now();
      }
      if (hasFault(Kind.LINK_HOLD)) {
        held = true;
        return;
      }
      passBuffer();
    }

    /** Forwards what a fault has held, if any. */
    void release() {
      if (held && !isClosed()) {
        held = false;
        passBuffer();
      }
    }

    private void passBuffer() {
      pass(buffer.flip());
      buffer = ByteBuffer.allocate(BUFFER_SIZE);
      read(buffer);
    }

    /**
     * Forwards a piece, or the end of the stream with null: in order, and as late as the link is
     * now.
     */
    private void pass(ByteBuffer piece) {
      lastDelivery = Math.max(lastDelivery, run.now() + addedDelay());
      if (lastDelivery > run.now()) {
        run.schedule(lastDelivery - run.now(), () -> deliver(piece));
      } else {
        deliver(piece);
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

    private void deliver(ByteBuffer piece) {
      if (piece == null) {
        peer.close();
        close();
      } else if (!peer.isClosed()) {
        disturb(piece);
        peer.write(piece);
        bytesPassed += piece.limit();
        if (fromBackend && hasFault(Kind.LINK_CUT) && bytesPassed >= CUT_AFTER_BYTES) {
          peer.shutdownOutput();
          reset();
        }
      }
    }

    private void disturb(ByteBuffer piece) {
      if (fromBackend && hasFault(Kind.LINK_CUT)) {
        int remaining = Math.max(0, CUT_AFTER_BYTES - bytesPassed);
        piece.limit(Math.min(piece.limit(), remaining));
      } else if (fromBackend && hasFault(Kind.LINK_CORRUPT) && piece.limit() > 0) {
        int position = random.nextInt(piece.limit());
        int flippedBit = 1 << random.nextInt(Byte.SIZE);
        piece.put(position, (byte) (piece.get(position) ^ flippedBit));
      }
    }

    @Override
    protected void onWritten(boolean complete) {
      if (!complete) {
        reset();
      }
    }

    /** Resets the connection on both sides, so that both peers notice at once. */
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
        // the backend may still be reading
        run.schedule(SENT_TIME_KEPT, () -> proxySideByPort.remove(port));
      }
    }
  }
}
