package wheattrack.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import wheattrack.aio.TcpConnection;

/** Sends one readiness request to a proxy. Runs on the run's thread only. */
final class ReadinessCheck extends TcpConnection {
  private static final ByteBuffer REQUEST =
      ByteBuffer.wrap("GET /ready HTTP/1.0\r\n\r\n".getBytes(StandardCharsets.US_ASCII))
          .asReadOnlyBuffer();
  private static final int BUFFER_SIZE = 1024;

  private final InetSocketAddress address;
  private final Consumer<Boolean> callback;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_SIZE);

  /** Creates a check that reports to the callback whether the proxy at an address is ready. */
  ReadinessCheck(SocketRun run, InetSocketAddress address, Consumer<Boolean> callback)
      throws IOException {
    super(run.loop(), AsynchronousSocketChannel.open(run.group()));
    this.address = address;
    this.callback = callback;
  }

  /** Connects and sends a readiness request. */
  void start() {
    connect(
        address,
        () -> {
          write(REQUEST.duplicate());
          read(buffer);
        },
        () -> finish(false));
  }

  private void finish(boolean isReady) {
    close();
    callback.accept(isReady);
  }

  @Override
  protected void onRead(int byteCount) {
    String text = new String(buffer.array(), 0, buffer.position(), StandardCharsets.US_ASCII);
    if (byteCount < 0 || text.contains("\r\n")) {
      finish(text.startsWith("HTTP/1.1 200"));
    } else {
      read(buffer);
    }
  }

  @Override
  protected void onWritten(boolean complete) {
    // after a failed write, the read ends the check
  }
}
