package wheattrack.aio;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wheattrack.http.RequestDecoder;

/**
 * What a connection has received does not change within a step of the event loop.
 *
 * <p>Guards against a channel group whose own thread completes a read while a step runs. The
 * eviction priority of a connection depends on the decoder's number of received bytes, which is the
 * position of the buffer of the pending read. If that changes while the connections are sorted by
 * priority, accepting a client fails with "Comparison method violates its general contract!" (2 to
 * 7 times a run with 300 idle clients on 256 descriptors, logged as "a step failed"). The test
 * forces the overlap: the bytes arrive while a step blocks the loop.
 */
class ReceivedBytesTest {
  private static final int SECONDS = 5;

  /** The time after which bytes sent over loopback have arrived. */
  private static final int ARRIVAL_MILLIS = 200;

  private final EventLoop eventLoop = new EventLoop();
  private final Thread loopThread = new Thread(eventLoop::run);
  private final CompletableFuture<Boolean> readCompleted = new CompletableFuture<>();

  private final class Connection extends TcpConnection {
    private final RequestDecoder decoder = new RequestDecoder(RequestDecoder.DEFAULT_MAX_BODY);

    Connection(AsynchronousSocketChannel channel) {
      super(eventLoop, channel);
    }

    @Override
    protected void onRead(int count) {
      readCompleted.complete(decoder.isMidMessage());
    }

    @Override
    protected void onWritten(boolean isComplete) {}
  }

  @BeforeEach
  void startLoop() {
    loopThread.setDaemon(true);
    loopThread.start();
  }

  @AfterEach
  void stopLoop() {
    eventLoop.shutdown();
  }

  @Test
  void receivedBytesDoNotChangeWithinAStep() throws Exception {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (AsynchronousServerSocketChannel listener =
            AsynchronousServerSocketChannel.open(eventLoop.channelGroup())
                .bind(new InetSocketAddress(loopback, 0));
        Socket peer =
            new Socket(loopback, ((InetSocketAddress) listener.getLocalAddress()).getPort())) {
      Connection connection = new Connection(listener.accept().get(SECONDS, TimeUnit.SECONDS));
      eventLoop.execute(() -> connection.read(connection.decoder.writableBuffer()));
      CompletableFuture<List<Boolean>> seenInStep = new CompletableFuture<>();
      eventLoop.execute(() -> seenInStep.complete(observeWhileBytesArrive(connection, peer)));
      assertEquals(List.of(false, false), seenInStep.get(SECONDS, TimeUnit.SECONDS));
      assertEquals(
          true,
          readCompleted.get(SECONDS, TimeUnit.SECONDS),
          "message begun, in the completion of the read");
    }
  }

  /** Returns whether a message has begun, before and after bytes arrive, within one step. */
  private static List<Boolean> observeWhileBytesArrive(Connection connection, Socket peer) {
    List<Boolean> seen = new ArrayList<>();
    seen.add(connection.decoder.isMidMessage());
    try {
      peer.getOutputStream().write("GET /".getBytes(StandardCharsets.US_ASCII));
      Thread.sleep(ARRIVAL_MILLIS);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
    seen.add(connection.decoder.isMidMessage());
    return seen;
  }
}
