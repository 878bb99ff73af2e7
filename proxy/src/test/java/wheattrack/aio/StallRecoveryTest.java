package wheattrack.aio;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A process that was stalled, which the operators allow for up to 0.15 s, reads what has arrived
 * before it runs the timers that are late: a response in a socket's buffer must not count as timed
 * out.
 */
class StallRecoveryTest {
  private static final int SECONDS = 5;
  private static final int STALL_MILLIS = 150;

  /** The delay of the timer in tenths of a millisecond; it ends during the stall. */
  private static final long TIMER_DELAY = 500;

  private final EventLoop eventLoop = new EventLoop();
  private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();

  private final class Connection extends TcpConnection {
    Connection(AsynchronousSocketChannel channel) {
      super(eventLoop, channel);
    }

    @Override
    protected void onRead(int count) {
      events.add("read");
    }

    @Override
    protected void onWritten(boolean isComplete) {}
  }

  @AfterEach
  void stopLoop() {
    eventLoop.shutdown();
  }

  @Test
  void bytesThatArriveDuringAStallAreReadBeforeLateTimers() throws Exception {
    Thread thread = new Thread(eventLoop::run);
    thread.setDaemon(true);
    thread.start();
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (AsynchronousServerSocketChannel listener =
            AsynchronousServerSocketChannel.open(eventLoop.channelGroup())
                .bind(new InetSocketAddress(loopback, 0));
        Socket peer =
            new Socket(loopback, ((InetSocketAddress) listener.getLocalAddress()).getPort())) {
      Connection connection = new Connection(listener.accept().get(SECONDS, TimeUnit.SECONDS));
      eventLoop.execute(
          () -> {
            connection.read(ByteBuffer.allocate(16));
            eventLoop.schedule(TIMER_DELAY, () -> events.add("timer"));
          });
      eventLoop.execute(() -> stallWhileByteArrives(peer));
      String first = events.poll(SECONDS, TimeUnit.SECONDS);
      String second = events.poll(SECONDS, TimeUnit.SECONDS);
      assertEquals(List.of("read", "timer"), List.of(first, second));
    }
  }

  /** Sends the byte at the end of the stall, when the timer is already due. */
  private static void stallWhileByteArrives(Socket peer) {
    try {
      Thread.sleep(STALL_MILLIS);
      peer.getOutputStream().write('x');
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
