package wheattrack.lab.sockets;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.function.Consumer;

/** Accepts connections on a port of the loopback address. Runs on the run's thread only. */
final class LoopbackListener implements AutoCloseable {
  /** Makes the operating system choose a free port. */
  static final int ANY_PORT = 0;

  /** A backlog for many connections that are opened together. */
  static final int LARGE_BACKLOG = 1024;

  /** Makes the operating system choose the backlog. */
  static final int DEFAULT_BACKLOG = 0;

  /** Delay before the next accept after a failed one, in tenths of a millisecond. */
  private static final long RETRY_DELAY = 100;

  private final SocketRun run;
  private final AsynchronousServerSocketChannel channel;
  private final Consumer<AsynchronousSocketChannel> acceptor;

  /** Listens from now on and passes each new connection to the acceptor. */
  LoopbackListener(
      SocketRun run, int port, int backlog, Consumer<AsynchronousSocketChannel> acceptor) {
    this.run = run;
    this.acceptor = acceptor;
    InetSocketAddress address = new InetSocketAddress(SocketRun.LOOPBACK, port);
    try {
      channel = AsynchronousServerSocketChannel.open(run.group());
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      channel.bind(address, backlog);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
    acceptNext();
  }

  /** The port that it listens on. */
  int port() {
    try {
      return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Stops listening; connections stay open. */
  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      // the channel is closed even if close() fails
    }
  }

  private void acceptNext() {
    channel.accept(
        null,
        run.loop()
            .handler(
                connection -> {
                  acceptor.accept(connection);
                  acceptNext();
                },
                failure -> {
                  if (channel.isOpen()) {
                    run.schedule(RETRY_DELAY, this::acceptNext);
                  }
                }));
  }

  /** Makes closing a connection send a TCP reset, so that the peer notices immediately. */
  static void resetOnClose(AsynchronousSocketChannel connection) {
    try {
      connection.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException | RuntimeException e) {
      // then closing it sends no reset
    }
  }
}
