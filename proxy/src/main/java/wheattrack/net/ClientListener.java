package wheattrack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.Comparator;
import java.util.function.Supplier;
import wheattrack.aio.EventLoop;
import wheattrack.core.Lifecycle;
import wheattrack.core.SlotTable;
import wheattrack.core.TimerQueue;
import wheattrack.http.Request;
import wheattrack.log.EventLog;

/**
 * Where clients connect: takes connections within a budget of descriptors and hands their requests
 * on.
 */
final class ClientListener {
  private static final int BACKLOG = 1024;
  private static final long PAUSE = 200; // after a failed accept, tenths of a millisecond
  private static final long LOG_EVERY = 10_000;

  /** What becomes of a request that is not one of the proxy's own. */
  interface RequestReceiver {
    void onRequest(ClientConnection client, Request request);

    /** Too many clients are here: it has been answered, unheard. */
    void onRejectedUnheard(Request request);
  }

  private final EventLoop loop;
  private final Lifecycle life;
  private int most;
  private final long maxBodyBytes;
  private final RequestReceiver taker;
  private final Supplier<String> remark;
  private final SlotTable<ClientConnection> clients = new SlotTable<>();
  private AsynchronousServerSocketChannel channel;
  private boolean accepting, opened;
  private TimerQueue.Timer pressing;

  /** Bytes that clients have sent ahead of what is asked for, and so many as may be. */
  private long ahead;

  private final long mostAhead = Runtime.getRuntime().maxMemory() / 8;
  private long accepted;
  private long loggedAt;
  private long unlogged;

  /**
   * most: connections of clients; a few more are taken, so that those who come then are denied.
   * remark: said behind the phase to who asks whether this proxy is ready.
   */
  ClientListener(
      EventLoop loop,
      Lifecycle life,
      int most,
      long mostBody,
      RequestReceiver taker,
      Supplier<String> remark) {
    this.remark = remark;
    this.maxBodyBytes = mostBody;
    this.loop = loop;
    this.life = life;
    this.most = most;
    this.taker = taker;
  }

  /**
   * Has the address from now on, as another process of this proxy may; who connects waits till
   * open().
   */
  void listen(AsynchronousChannelGroup group, InetSocketAddress at) throws IOException {
    channel = AsynchronousServerSocketChannel.open(group);
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.setOption(StandardSocketOptions.SO_REUSEPORT, true).bind(at, BACKLOG);
  }

  /** Takes who has connected and who does from now on. */
  void startAccepting() {
    opened = true;
    accept();
  }

  /** So many connections may be had from now on; surplus ones go as they come to rest. */
  void setMaxClients(int most) {
    this.most = most;
    free(clients.size() - most);
    accept();
  }

  boolean isListening() {
    return channel != null && channel.isOpen();
  }

  private void accept() {
    if (accepting || !opened || !isListening()) {
      return;
    }
    if (clients.size() >= most + 1 + most / 16) {
      press();
      return;
    }
    accepting = true;
    channel.accept(null, loop.handler(this::accepted, this::acceptFailed));
  }

  /** All places are taken: who is slow with its head, or comes to be, makes room for who waits. */
  private void press() {
    if (pressing == null) {
      pressing =
          loop.schedule(
              ClientConnection.HEAD_AMID_CROWD / 4,
              () -> {
                pressing = null;
                clients.all().stream()
                    .filter(c -> c.rank() == ClientConnection.SLOW)
                    .forEach(ClientConnection::evict);
                free(clients.size() - most);
                accept();
              });
    }
  }

  private void accepted(AsynchronousSocketChannel one) {
    accepting = false;
    accepted++;
    new ClientConnection(this, loop, one).start();
    free(clients.size() - most);
    accept();
  }

  /**
   * Descriptors have run out, most likely: an idle connection makes room, and the rest waits a
   * moment.
   */
  private void acceptFailed(Throwable why) {
    accepting = false;
    if (isListening()) {
      note("not accepted", why.toString());
      free(1);
      loop.schedule(PAUSE, this::accept);
    }
  }

  private void free(int surplus) {
    if (surplus > 0) {
      clients.all().stream()
          .filter(client -> client.rank() < ClientConnection.NOT_AT_ALL)
          .sorted(
              Comparator.comparingInt(ClientConnection::rank)
                  .thenComparingLong(ClientConnection::idleSince))
          .limit(surplus)
          .forEach(ClientConnection::evict);
    }
  }

  /** So many more bytes of clients are held, or fewer. */
  void addReadAheadBytes(long more) {
    ahead += more;
  }

  boolean mayReadAhead() {
    return ahead < mostAhead;
  }

  long maxBodyBytes() {
    return maxBodyBytes;
  }

  int register(ClientConnection client) {
    return clients.add(client);
  }

  void onClosed(int slot) {
    clients.remove(slot);
    accept();
  }

  /**
   * Whether a connection may stay open for a further request: only while places are plenty.
   * Incident rde3a99: connections that ask once and stay used up what clients may hold; none was
   * left for requests.
   */
  boolean mayKeepAlive(boolean asked) {
    return asked && !life.isShuttingDown() && clients.size() <= most / 2;
  }

  void onRequest(ClientConnection client, Request request) {
    String path = request.target().split("\\?", 2)[0];
    if (path.equals(ProtocolMapping.READY)) {
      client.sendResponse(
          ProtocolMapping.plain(
              life.isReady() ? 200 : 503,
              life.phase().name() + remark.get(),
              mayKeepAlive(request.keepAlive())));
    } else if (clients.size() > most && served() > most) {
      note("denied", clients.size() + " clients are connected");
      taker.onRejectedUnheard(request);
      client.sendResponse(ProtocolMapping.denied(0, false));
    } else {
      taker.onRequest(client, request);
    }
  }

  /** Requests that are open; idle clients, of which some are to go, are none of them. */
  private long served() {
    return clients.all().stream().filter(ClientConnection::hasOpenRequest).count();
  }

  void logErrorResponse(int status, String why) {
    note("answered " + status, why);
  }

  /** Bad input may come in floods: a line a second. */
  private void note(String event, String cause) {
    if (loop.now() - loggedAt < LOG_EVERY) {
      unlogged++;
      return;
    }
    EventLog.info(event, null, cause + (unlogged > 0 ? ", and " + unlogged + " more like it" : ""));
    loggedAt = loop.now();
    unlogged = 0;
  }

  void closeIdleConnections() {
    clients.all().stream().filter(ClientConnection::isIdle).forEach(ClientConnection::close);
  }

  /**
   * Nothing more is accepted but who has connected by now: they would be reset with what they sent.
   */
  void stopAccepting() {
    if (!isListening()) {
      return;
    }
    long before = accepted;
    startAccepting();
    loop.execute(
        () -> {
          if (accepted > before) {
            stopAccepting();
          } else if (!accepting) { // its places are all taken: as they come free
            loop.schedule(PAUSE, this::stopAccepting);
          } else {
            closeDoor();
          }
        });
  }

  private void closeDoor() {
    try {
      channel.close();
    } catch (IOException e) {
      EventLog.warning("the listening socket", null, e.toString());
    }
  }

  int port() throws IOException {
    return ((InetSocketAddress) channel.getLocalAddress()).getPort();
  }

  int connectionCount() {
    return clients.size();
  }
}
