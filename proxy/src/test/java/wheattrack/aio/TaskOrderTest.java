package wheattrack.aio;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A task runs after everything that had arrived when it was queued, so that a task that closes a
 * connection never loses a request that arrived before. The system reports notifications in batches
 * and in no defined order; the one that wakes the loop for tasks is among them.
 */
class TaskOrderTest {
  private static final int SECONDS = 5;
  private static final int CONNECTIONS = 8;
  private static final int ROUNDS = 20;

  /** The time after which bytes sent over loopback have arrived. */
  private static final int ARRIVAL_MILLIS = 20;

  private final EventLoop eventLoop = new EventLoop();
  private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final List<Socket> peers = new ArrayList<>();

  private final class Connection extends TcpConnection {
    private final ByteBuffer buffer = ByteBuffer.allocate(64);

    Connection(AsynchronousSocketChannel channel) {
      super(eventLoop, channel);
    }

    void readNext() {
      read(buffer.clear());
    }

    @Override
    protected void onRead(int count) {
      events.add("read");
      readNext();
    }

    @Override
    protected void onWritten(boolean isComplete) {}
  }

  @AfterEach
  void stopLoop() throws IOException {
    eventLoop.shutdown();
    for (Socket peer : peers) {
      peer.close();
    }
  }

  @Test
  void taskRunsAfterAllThatHadArrived() throws Exception {
    Thread thread = new Thread(eventLoop::run);
    thread.setDaemon(true);
    thread.start();
    InetAddress loopback = InetAddress.getLoopbackAddress();
    AsynchronousServerSocketChannel listener =
        AsynchronousServerSocketChannel.open(eventLoop.channelGroup())
            .bind(new InetSocketAddress(loopback, 0));
    int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
    for (int i = 0; i < CONNECTIONS; i++) {
      peers.add(new Socket(loopback, port));
      Connection connection = new Connection(listener.accept().get(SECONDS, TimeUnit.SECONDS));
      eventLoop.execute(connection::readNext);
    }
    List<String> expected = new ArrayList<>(Collections.nCopies(CONNECTIONS, "read"));
    expected.add("task");
    for (int round = 0; round < ROUNDS; round++) {
      eventLoop.execute(this::queueTaskAfterArrival);
      List<String> seen = new ArrayList<>();
      for (int i = 0; i < expected.size(); i++) {
        seen.add(events.poll(SECONDS, TimeUnit.SECONDS));
      }
      assertEquals(expected, seen, "events of round " + round);
    }
  }

  private void queueTaskAfterArrival() {
    try {
      for (Socket peer : peers) {
        peer.getOutputStream().write('x');
      }
      Thread.sleep(ARRIVAL_MILLIS);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
    eventLoop.execute(() -> events.add("task"));
  }
}
