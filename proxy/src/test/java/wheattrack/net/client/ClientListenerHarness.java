package wheattrack.net.client;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import wheattrack.aio.EventLoop;
import wheattrack.core.Lifecycle;
import wheattrack.core.Lifecycle.Phase;
import wheattrack.core.MemoryBudget;

/** A listener on loopback sockets without a proxy behind it: the test receives the requests. */
abstract class ClientListenerHarness {
  static final int TIMEOUT_MILLIS = 3000;

  /** Bytes sent over loopback are received within this time. */
  static final int ARRIVAL_MILLIS = 200;

  private static final int MAX_BODY_BYTES = 1 << 20;

  final EventLoop loop = new EventLoop();
  final ClientListener listener;

  private final Thread loopThread = new Thread(loop::run);
  private final Lifecycle lifecycle = new Lifecycle(phase -> {});
  private final List<Socket> sockets = new ArrayList<>();

  /**
   * Creates a listener that does not listen yet.
   *
   * @param maxClients limit on connections of clients
   * @param receiver receives the requests, on the event loop's thread
   */
  ClientListenerHarness(int maxClients, ClientListener.RequestReceiver receiver) {
    listener =
        new ClientListener(
            loop,
            lifecycle,
            maxClients,
            MAX_BODY_BYTES,
            receiver,
            MemoryBudget.unlimited(),
            () -> "");
  }

  @BeforeEach
  void startListener() throws Exception {
    lifecycle.advanceTo(Phase.WARMING);
    lifecycle.advanceTo(Phase.SERVING);
    listener.listen(
        loop.channelGroup(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    loopThread.setDaemon(true);
    loopThread.start();
    runOnLoop(listener::startAccepting);
  }

  @AfterEach
  void stopListener() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    loop.shutdown();
  }

  /** Runs the task in one step of the event loop, and waits for its end. */
  void runOnLoop(Runnable task) throws Exception {
    CompletableFuture.runAsync(task, loop).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Opens a client's connection, which is closed at the end of the test. */
  Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    sockets.add(socket);
    return socket;
  }

  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }
}
