package wheattrack.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import wheattrack.aio.EventLoop;
import wheattrack.core.Lifecycle;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.log.EventLog;

/**
 * The HTTP server for operators: status and metrics, one request a connection, apart from the
 * clients' connections. It holds few connections; when they are all taken, the oldest one without a
 * complete request is closed for the next, so that nobody can lock the operators out. Runs on the
 * event loop's thread only.
 */
public final class AdminServer {
  /** Connections at once. */
  public static final int MAX_CONNECTIONS = 8;

  private static final int ACCEPT_BACKLOG = 64;

  /** The pause after a failed accept, in tenths of a millisecond. */
  private static final long ACCEPT_RETRY_DELAY = 200;

  private final EventLoop loop;
  private final Lifecycle lifecycle;
  private final Supplier<String> metrics;
  private final AsynchronousServerSocketChannel channel;

  /** The open connections, the oldest first. */
  private final Deque<AdminConnection> connections = new ArrayDeque<>();

  /**
   * Binds the address and starts to accept connections.
   *
   * @param metrics the text of the metrics at the time of the call
   * @throws IOException if the address can't be bound
   */
  public AdminServer(
      EventLoop loop,
      AsynchronousChannelGroup group,
      Lifecycle lifecycle,
      InetSocketAddress address,
      Supplier<String> metrics)
      throws IOException {
    this.loop = loop;
    this.lifecycle = lifecycle;
    this.metrics = metrics;
    channel = AsynchronousServerSocketChannel.open(group).bind(address, ACCEPT_BACKLOG);
    accept();
  }

  /** The port that is bound. */
  public int port() throws IOException {
    return ((InetSocketAddress) channel.getLocalAddress()).getPort();
  }

  private void accept() {
    if (channel.isOpen()) {
      channel.accept(null, loop.handler(this::onAccepted, this::onAcceptFailed));
    }
  }

  private void onAccepted(AsynchronousSocketChannel accepted) {
    if (connections.size() >= MAX_CONNECTIONS) {
      connectionToGiveUp().close();
    }
    AdminConnection connection = new AdminConnection(this, loop, accepted);
    connections.addLast(connection);
    connection.open();
    accept();
  }

  private AdminConnection connectionToGiveUp() {
    for (AdminConnection connection : connections) {
      if (!connection.isAnswered()) {
        return connection;
      }
    }
    return connections.peekFirst();
  }

  private void onAcceptFailed(Throwable cause) {
    if (channel.isOpen()) {
      EventLog.info("operator not accepted", null, cause.toString());
      loop.schedule(ACCEPT_RETRY_DELAY, this::accept);
    }
  }

  /** Called by a connection that has closed. */
  void onClosed(AdminConnection connection) {
    connections.remove(connection);
  }

  /** The response to a request. */
  Response respond(Request request) {
    if (!request.method().equals("GET")) {
      return text(405, "only GET is taken here");
    }
    String path = request.target().split("\\?", 2)[0];
    return switch (path) {
      case "/status" -> text(lifecycle.isReady() ? 200 : 503, lifecycle.phase().name());
      case "/status/metrics" -> text(200, metrics.get());
      default -> text(404, "no such call; there are /status and /status/metrics");
    };
  }

  /** A text response, after which the connection is closed. */
  static Response text(int status, String text) {
    return Response.text(status, text, false);
  }

  /** Stops accepting, and closes all connections. */
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      EventLog.warning("the operators' listening socket", null, e.toString());
    }
    new ArrayDeque<>(connections).forEach(AdminConnection::close); // each removes itself
  }
}
