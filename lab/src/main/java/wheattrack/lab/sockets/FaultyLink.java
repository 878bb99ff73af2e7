package wheattrack.lab.sockets;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
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
 * The link between one proxy and one server: passes bytes on, and spoils them as told. DELAY: each
 * piece is late. DROP: a share of pieces comes as late as a packet sent again. HOLD: nothing passes
 * until it ends. CUT: a server's answer ends after so many bytes. RESET: connections break at once,
 * and new ones too. CORRUPT: a bit in each piece from the server is turned.
 */
final class FaultyLink {
  private static final long RETRANSMIT = 2_000;
  private static final int PIECE = 8192, CUT_AFTER = 40;

  private final SocketRun stage;
  private final int to;
  private final RandomStream draws;
  private final AsynchronousServerSocketChannel door;
  private final Set<Half> halves = new LinkedHashSet<>();
  private final Map<Integer, Half> byPort = new HashMap<>();
  private Fault spoilt;

  FaultyLink(SocketRun stage, int to, RandomStream draws) {
    this.stage = stage;
    this.to = to;
    this.draws = draws;
    try {
      door = AsynchronousServerSocketChannel.open(stage.group).bind(SocketRun.any(), 1024);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    accept();
  }

  int port() {
    try {
      return ((InetSocketAddress) door.getLocalAddress()).getPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void spoil(Fault fault) {
    spoilt = fault;
    if (is(Kind.LINK_RESET)) {
      List.copyOf(halves).forEach(Half::reset);
    } else if (fault == null) {
      List.copyOf(halves).forEach(Half::goOn);
    }
  }

  /** When the link was given what the server has now got from this port of the relay's. */
  long sentAt(int port) {
    Half near = byPort.get(port);
    return near == null ? stage.now() : near.cameAt;
  }

  private boolean is(Kind kind) {
    return spoilt != null && spoilt.kind() == kind;
  }

  private void accept() {
    door.accept(
        null,
        stage.loop.handler(
            one -> {
              open(one);
              accept();
            },
            why -> {
              if (door.isOpen()) {
                stage.after(100, this::accept);
              }
            }));
  }

  private void open(AsynchronousSocketChannel one) {
    Half near = new Half(one, false);
    if (is(Kind.LINK_RESET)) {
      near.reset();
      return;
    }
    try {
      Half far = new Half(AsynchronousSocketChannel.open(stage.group), true);
      near.other = far;
      far.other = near;
      far.connect(
          new InetSocketAddress(SocketRun.HOME, to),
          () -> {
            far.port = far.localPort();
            byPort.put(far.port, near);
            near.open();
            far.open();
          },
          near::reset);
    } catch (IOException e) {
      near.reset();
    }
  }

  /** One side of a connection; what comes here goes out at the other. */
  private final class Half extends TcpConnection {
    private final AsynchronousSocketChannel channel;
    private final boolean fromServer;
    private ByteBuffer in = ByteBuffer.allocate(PIECE);
    private Half other;
    private long lastAt, cameAt;
    private int port;
    private int passed;
    private boolean waits;

    Half(AsynchronousSocketChannel channel, boolean fromServer) {
      super(stage.loop, channel);
      this.channel = channel;
      this.fromServer = fromServer;
      halves.add(this);
    }

    int localPort() {
      try {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
      } catch (IOException e) {
        return 0;
      }
    }

    void open() {
      read(in);
    }

    @Override
    protected void onRead(int n) {
      if (n < 0) {
        pass(null);
        return;
      }
      cameAt = n > 0 ? stage.now() : cameAt;
      if (is(Kind.LINK_HOLD)) {
        waits = true;
        return;
      }
      pass(in.flip());
      in = ByteBuffer.allocate(PIECE);
      read(in);
    }

    void goOn() {
      if (waits && !isClosed()) {
        waits = false;
        onRead(0);
      }
    }

    /** In order, as late as the link is now; null is the end. */
    private void pass(ByteBuffer piece) {
      long late =
          is(Kind.LINK_DELAY)
              ? Math.round(spoilt.size() * Scenario.MS)
              : is(Kind.LINK_DROP) && draws.happens(spoilt.size()) ? RETRANSMIT : 0;
      long at = Math.max(lastAt, stage.now() + late);
      lastAt = at;
      if (at > stage.now()) {
        stage.after(at - stage.now(), () -> goesOut(piece));
      } else {
        goesOut(piece);
      }
    }

    private void goesOut(ByteBuffer piece) {
      if (piece == null) {
        other.close();
        close();
      } else if (!other.isClosed()) {
        spoils(piece);
        other.write(piece);
        passed += piece.limit();
        if (fromServer && is(Kind.LINK_CUT) && passed >= CUT_AFTER) {
          other.shutdownOutput();
          reset();
        }
      }
    }

    private void spoils(ByteBuffer piece) {
      if (fromServer && is(Kind.LINK_CUT)) {
        piece.limit(Math.min(piece.limit(), Math.max(0, CUT_AFTER - passed)));
      } else if (fromServer && is(Kind.LINK_CORRUPT) && piece.limit() > 0) {
        int at = draws.below(piece.limit());
        piece.put(at, (byte) (piece.get(at) ^ 1 << draws.below(8)));
      }
    }

    @Override
    protected void onWritten(boolean whole) {
      if (!whole) {
        reset();
      }
    }

    void reset() {
      for (Half half : other == null ? List.of(this) : List.of(this, other)) {
        try {
          half.channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException | RuntimeException e) {
          // closed without it
        }
        half.close();
      }
    }

    @Override
    public void close() {
      super.close();
      if (halves.remove(this) && port > 0) {
        stage.after(Scenario.SECOND, () -> byPort.remove(port)); // the server may still be reading
      }
    }
  }
}
