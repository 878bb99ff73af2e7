package wheattrack.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/**
 * Clients that send nothing or the beginning of a request head, and reconnect as soon as the proxy
 * closes their connections. One thread serves them all.
 */
final class SoakCrowd implements AutoCloseable {
  private static final byte[] HALF_HEAD = "GET /".getBytes(StandardCharsets.US_ASCII);
  private static final int POLL_MILLIS = 50;
  private static final int READ_BYTES = 1024;

  private final InetSocketAddress address;
  private final boolean sendsHalfHead;
  private final Selector selector = Selector.open();
  private volatile boolean isClosed;

  /** Sets up clients of a port of this machine; {@link #start} connects them. */
  SoakCrowd(int port, boolean sendsHalfHead) throws IOException {
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    this.sendsHalfHead = sendsHalfHead;
  }

  /** Connects this many clients, on a new thread. */
  void start(int size) {
    SoakThreads.start(() -> run(size));
  }

  private void run(int size) throws IOException {
    for (int i = 0; i < size; i++) {
      connect();
    }
    while (!isClosed) {
      selector.select(this::handle, POLL_MILLIS);
    }
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
  }

  private void connect() throws IOException {
    SocketChannel channel = SocketChannel.open();
    channel.configureBlocking(false);
    channel.connect(address);
    channel.register(selector, SelectionKey.OP_CONNECT);
  }

  private void handle(SelectionKey key) {
    SocketChannel channel = (SocketChannel) key.channel();
    try {
      if (key.isConnectable()) {
        channel.finishConnect();
        key.interestOps(SelectionKey.OP_READ);
        if (sendsHalfHead) {
          channel.write(ByteBuffer.wrap(HALF_HEAD));
        }
      } else if (channel.read(ByteBuffer.allocate(READ_BYTES)) < 0) {
        reconnect(channel);
      }
    } catch (IOException e) {
      reconnect(channel);
    }
  }

  private void reconnect(SocketChannel channel) {
    try {
      channel.close();
      if (!isClosed) {
        connect();
      }
    } catch (IOException e) {
      isClosed = true; // no file descriptor is left, or the run is over
    }
  }

  @Override
  public void close() {
    isClosed = true;
    selector.wakeup();
  }
}
