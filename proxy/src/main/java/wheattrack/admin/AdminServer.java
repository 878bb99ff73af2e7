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
import wheattrack.http.StatusCode;
import wheattrack.log.EventLog;

/**
 * The HTTP server for operators: status and metrics, one request per connection, on an address
 * separate from the clients'. It holds few connections; when all are in use, the oldest one without
 * a complete request is closed in favour of a new one, so that idle connections cannot lock out the
 * operators. Runs on the event loop's thread only.
 */
public final class AdminServer {
  /** The most connections open at once. */
  public static final int MAX_CONNECTIONS = 8;

  private static final String STATUS_PATH = "/status";
  private static final String METRICS_PATH = "/status/metrics";

  /** The most connections that wait to be accepted. */
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
   * @param metrics supplies the text of the metrics at the time of the call
   * @throws IOException if the address cannot be bound
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

  /**
   * The port that is bound.
   *
   * @throws IOException if the server is closed
   */
  public int port() throws IOException {
    return ((InetSocketAddress) channel.getLocalAddress()).getPort();
  }

  private void accept() {
    if (channel.isOpen()) {
      channel.accept(null, loop.handler(this::onAccepted, this::onAcceptFailed));
    }
  }

  private void onAccepted(AsynchronousSocketChannel accepted) {
    try {
      if (connections.size() >= MAX_CONNECTIONS) {
        connectionToEvict().close();
      }
      AdminConnection connection = new AdminConnection(this, loop, accepted);
      connections.addLast(connection);
      connection.open();
    } finally {
      accept(); // also after a failure: other operators wait
    }
  }

  /** The oldest connection that is not answered yet, or the oldest one if all are. */
  private AdminConnection connectionToEvict() {
    for (AdminConnection connection : connections) {
      if (!connection.isAnswered()) {
        return connection;
      }
    }
    return connections.peekFirst();
  }

  private void onAcceptFailed(Throwable cause) {
    if (channel.isOpen()) {
      EventLog.info("admin connection not accepted", null, cause.toString());
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
      return text(StatusCode.METHOD_NOT_ALLOWED, "only GET is supported");
    }
    String path = request.target().split("\\?", 2)[0];
    return switch (path) {
      case STATUS_PATH -> status();
      case METRICS_PATH -> text(StatusCode.OK, metrics.get());
      default -> text(StatusCode.NOT_FOUND, "unknown path, expected /status or /status/metrics");
    };
  }

  private Response status() {
    int statusCode = lifecycle.isReady() ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE;
    return text(statusCode, lifecycle.phase().name());
  }

  /** A text response, after which the connection is closed. */
  static Response text(int statusCode, String text) {
    return Response.text(statusCode, text, false);
  }

  /** Stops accepting, and closes all connections. */
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      EventLog.warning("admin listening socket not closed", null, e.toString());
    }
    new ArrayDeque<>(connections).forEach(AdminConnection::close); // each removes itself
  }
}
