package wheattrack.net.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.function.Supplier;
import wheattrack.aio.EventLoop;
import wheattrack.core.Lifecycle;
import wheattrack.core.TimerQueue;
import wheattrack.http.Request;
import wheattrack.log.EventLog;
import wheattrack.net.protocol.ProtocolMapping;

/**
 * Listens for clients: accepts connections within a budget of descriptors, and gives their requests
 * to the receiver. Runs on the event loop's thread only.
 */
public final class ClientListener {
  /** Connections that the system may hold for us until they are accepted. */
  private static final int BACKLOG = 1024;

  /** How long to wait after a failed accept, in tenths of a millisecond. */
  private static final long RETRY_PAUSE = 200;

  /** How often slow clients are looked for while all places are taken; tenths of a millisecond. */
  private static final long EVICTION_INTERVAL = ConnectionTimeouts.HEAD_TIMEOUT_WHEN_FULL / 4;

  /** Takes the requests that the proxy does not respond to itself. */
  public interface RequestReceiver {
    /** A request has come; the connection waits for its one response. */
    void onRequest(ClientConnection client, Request request);

    /** A request is rejected without being looked at, as too many clients are connected. */
    void onRejected(Request request);
  }

  private final EventLoop loop;
  private final Lifecycle lifecycle;
  private final long maxBodyBytes;
  private final RequestReceiver receiver;
  private final Supplier<String> readinessRemark;
  private final ClientConnectionTable connections;
  private final ReadAheadBudget readAheadBudget = new ReadAheadBudget();
  private final ClientErrorLog errorLog;
  private AsynchronousServerSocketChannel channel;
  private boolean isStarted;
  private boolean isAccepting;
  private TimerQueue.Timer evictionTimer;
  private long acceptedConnections;

  /**
   * Makes a listener that does not listen yet.
   *
   * @param maxClients connections of clients; a few more are accepted, to have their requests
   *     rejected
   * @param maxBodyBytes bytes of the longest request body
   * @param readinessRemark said behind the phase to who asks whether this proxy is ready
   */
  public ClientListener(
      EventLoop loop,
      Lifecycle lifecycle,
      int maxClients,
      long maxBodyBytes,
      RequestReceiver receiver,
      Supplier<String> readinessRemark) {
    this.loop = loop;
    this.lifecycle = lifecycle;
    this.maxBodyBytes = maxBodyBytes;
    this.receiver = receiver;
    this.readinessRemark = readinessRemark;
    connections = new ClientConnectionTable(maxClients);
    errorLog = new ClientErrorLog(loop);
  }

  // ---- the listening socket

  /**
   * Binds the address, which another process of this proxy may have bound too. Clients that connect
   * wait until {@link #startAccepting}.
   *
   * @throws IOException if the address cannot be bound
   */
  public void listen(AsynchronousChannelGroup group, InetSocketAddress address) throws IOException {
    channel = AsynchronousServerSocketChannel.open(group);
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.setOption(StandardSocketOptions.SO_REUSEPORT, true).bind(address, BACKLOG);
  }

  /** Whether the address is bound and not given up. */
  public boolean isListening() {
    return channel != null && channel.isOpen();
  }

  /**
   * The port it listens at.
   *
   * @throws IOException if the socket is closed
   */
  public int port() throws IOException {
    return ((InetSocketAddress) channel.getLocalAddress()).getPort();
  }

  /** Accepts the clients that have connected, and those that do from now on. */
  public void startAccepting() {
    isStarted = true;
    accept();
  }

  private void accept() {
    if (isAccepting || !isStarted || !isListening()) {
      return;
    }
    if (connections.isFull()) {
      scheduleEviction();
      return;
    }
    isAccepting = true;
    channel.accept(null, loop.handler(this::onAccepted, this::onAcceptFailed));
  }

  private void onAccepted(AsynchronousSocketChannel client) {
    isAccepting = false;
    acceptedConnections++;
    new ClientConnection(this, loop, client).start();
    connections.evictSurplus();
    accept();
  }

  /** Most likely descriptors have run out: one connection is evicted, and accepting pauses. */
  private void onAcceptFailed(Throwable cause) {
    isAccepting = false;
    if (isListening()) {
      errorLog.log("not accepted", cause.toString());
      connections.evict(1);
      loop.schedule(RETRY_PAUSE, this::accept);
    }
  }

  /** All places are taken: clients that are or become slow with a head make room for others. */
  private void scheduleEviction() {
    if (evictionTimer == null) {
      evictionTimer = loop.schedule(EVICTION_INTERVAL, this::evictAndAccept);
    }
  }

  private void evictAndAccept() {
    evictionTimer = null;
    connections.evictSlowHeads();
    connections.evictSurplus();
    accept();
  }

  /**
   * Gives the address up once all clients that have connected by now are accepted: they would be
   * reset with what they sent.
   */
  public void stopAccepting() {
    if (!isListening()) {
      return;
    }
    long acceptedBefore = acceptedConnections;
    startAccepting();
    loop.execute(
        () -> {
          if (acceptedConnections > acceptedBefore) {
            stopAccepting();
          } else if (!isAccepting) { // all places are taken: again as they come free
            loop.schedule(RETRY_PAUSE, this::stopAccepting);
          } else {
            closeListeningSocket();
          }
        });
  }

  private void closeListeningSocket() {
    try {
      channel.close();
    } catch (IOException e) {
      EventLog.warning("the listening socket", null, e.toString());
    }
  }

  // ---- the connections

  /** Bounds the connections from now on; surplus ones are closed as they become idle. */
  public void setMaxClients(int maxClients) {
    connections.setMaxConnections(maxClients);
    connections.evictSurplus();
    accept();
  }

  /** Enters a connection that was accepted, and returns its slot. */
  int register(ClientConnection client) {
    return connections.add(client);
  }

  /** The connection in this slot has closed: its place is free. */
  void onClosed(int slot) {
    connections.remove(slot);
    accept();
  }

  /** The number of connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Closes the connections that are between two requests. */
  public void closeIdleConnections() {
    connections.closeIdle();
  }

  /** What the connections may read ahead together. */
  ReadAheadBudget readAheadBudget() {
    return readAheadBudget;
  }

  /** Bytes of the longest request body. */
  long maxBodyBytes() {
    return maxBodyBytes;
  }

  /**
   * Whether a connection may stay open for a further request: only while places are plenty.
   * Incident rde3a99: connections that ask once and stay used up what clients may hold; none was
   * left for requests.
   *
   * @param isRequested whether the client wants it so
   */
  public boolean mayKeepAlive(boolean isRequested) {
    return isRequested && !lifecycle.isShuttingDown() && connections.hasAmplePlaces();
  }

  // ---- the requests

  /** A request has come: responds to readiness checks and on overload, and passes on the others. */
  void onRequest(ClientConnection client, Request request) {
    String path = request.target().split("\\?", 2)[0];
    if (path.equals(ProtocolMapping.READY_PATH)) {
      respondToReadinessCheck(client, request);
    } else if (connections.hasTooManyRequests()) {
      errorLog.log("denied", connections.size() + " clients are connected");
      receiver.onRejected(request);
      client.sendResponse(ProtocolMapping.rejection(0, false));
    } else {
      receiver.onRequest(client, request);
    }
  }

  private void respondToReadinessCheck(ClientConnection client, Request request) {
    int status = lifecycle.isReady() ? 200 : 503;
    String text = lifecycle.phase().name() + readinessRemark.get();
    boolean keepsAlive = mayKeepAlive(request.keepAlive());
    client.sendResponse(ProtocolMapping.textAnswer(status, text, keepsAlive));
  }

  /** Logs that a client's request is answered by the proxy itself with an error. */
  public void logErrorResponse(int status, String reason) {
    errorLog.log("answered " + status, reason);
  }
}
