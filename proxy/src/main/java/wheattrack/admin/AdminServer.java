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
 * Where operators call: few places, apart from the clients' ones, one call to a connection. Whoever
 * holds a place with no whole call gives way to the next caller, so that nobody can shut the
 * operators out. On the loop's thread only.
 */
public final class AdminServer {
  /** Callers at once. */
  public static final int PLACES = 8;

  private static final int BACKLOG = 64;
  private static final long PAUSE = 200; // after a failed accept, tenths of a millisecond

  private final EventLoop loop;
  private final Lifecycle life;
  private final Supplier<String> figures;
  private final AsynchronousServerSocketChannel channel;
  private final Deque<AdminConnection> callers = new ArrayDeque<>(); // longest here first

  public AdminServer(
      EventLoop loop,
      AsynchronousChannelGroup group,
      Lifecycle life,
      InetSocketAddress listen,
      Supplier<String> figures)
      throws IOException {
    this.loop = loop;
    this.life = life;
    this.figures = figures;
    channel = AsynchronousServerSocketChannel.open(group).bind(listen, BACKLOG);
    accept();
  }

  public int port() throws IOException {
    return ((InetSocketAddress) channel.getLocalAddress()).getPort();
  }

  private void accept() {
    if (channel.isOpen()) {
      channel.accept(null, loop.handler(this::accepted, this::acceptFailed));
    }
  }

  private void accepted(AsynchronousSocketChannel one) {
    if (callers.size() >= PLACES) {
      callers.stream().filter(c -> !c.isAnswered()).findFirst().orElse(callers.peekFirst()).close();
    }
    AdminConnection caller = new AdminConnection(this, loop, one);
    callers.addLast(caller);
    caller.open();
    accept();
  }

  private void acceptFailed(Throwable why) {
    if (channel.isOpen()) {
      EventLog.info("operator not accepted", null, why.toString());
      loop.schedule(PAUSE, this::accept);
    }
  }

  void closed(AdminConnection caller) {
    callers.remove(caller);
  }

  Response answer(Request call) {
    if (!call.method().equals("GET")) {
      return text(405, "only GET is taken here");
    }
    return switch (call.target().split("\\?", 2)[0]) {
      case "/status" -> text(life.isReady() ? 200 : 503, life.phase().name());
      case "/status/metrics" -> text(200, figures.get());
      default -> text(404, "no such call; there are /status and /status/metrics");
    };
  }

  static Response text(int status, String text) {
    return Response.text(status, text, false);
  }

  /** Nothing more is accepted, and who is here is sent away. */
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      EventLog.warning("the operators' listening socket", null, e.toString());
    }
    new ArrayDeque<>(callers).forEach(AdminConnection::close);
  }
}
