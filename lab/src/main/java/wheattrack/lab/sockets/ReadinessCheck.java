package wheattrack.lab.sockets;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import wheattrack.aio.TcpConnection;

/** Asks a proxy once whether it is ready. */
final class ReadinessCheck extends TcpConnection {
  private static final ByteBuffer ASK =
      ByteBuffer.wrap("GET /ready HTTP/1.0\r\n\r\n".getBytes(StandardCharsets.US_ASCII))
          .asReadOnlyBuffer();

  private final ProxyProcess of;
  private final Consumer<Boolean> then;
  private final ByteBuffer in = ByteBuffer.allocate(1024);

  ReadinessCheck(ProxyProcess of, SocketRun stage, Consumer<Boolean> then) throws IOException {
    super(stage.loop, AsynchronousSocketChannel.open(stage.group));
    this.of = of;
    this.then = then;
  }

  void open() {
    connect(
        of.address(),
        () -> {
          write(ASK.duplicate());
          read(in);
        },
        () -> end(false));
  }

  private void end(boolean ready) {
    close();
    then.accept(ready);
  }

  @Override
  protected void onRead(int n) {
    String text = new String(in.array(), 0, in.position(), StandardCharsets.US_ASCII);
    if (n < 0 || text.contains("\r\n")) {
      end(text.startsWith("HTTP/1.1 200"));
    } else {
      read(in);
    }
  }

  @Override
  protected void onWritten(boolean whole) {
    // what comes tells
  }
}
