package wheattrack.net.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.function.Supplier;
import wheattrack.aio.EventLoop;
import wheattrack.core.ClientConnectionCounters;
import wheattrack.core.Lifecycle;
import wheattrack.core.MemoryBudget;
import wheattrack.core.TimerQueue;
import wheattrack.http.Request;
import wheattrack.http.StatusCode;
import wheattrack.log.EventLog;
import wheattrack.log.ThrottledEventLog;
import wheattrack.net.protocol.ProtocolMapping;

/**
 * Listens for clients: accepts connections up to a limit, and passes their requests to the
 * receiver. Runs on the event loop's thread only.
 */
public final class ClientListener {
  /** Length of the accept queue: connections that the system holds until they are accepted. */
  private static final int BACKLOG = 1024;

  /**
   * How long to wait before a failed accept, or a failed attempt to stop accepting, is retried;
   * tenths of a millisecond.
   */
  private static final long RETRY_PAUSE = 200;

  /**
   * How often the listener looks for connections that may be evicted while the limit is reached;
   * tenths of a millisecond.
   */
  private static final long EVICTION_INTERVAL = ClientConnection.EVICTION_GRACE / 4;

  /** Receives the requests that the listener does not respond to itself. */
  public interface RequestReceiver {
    /** A request has been received; the connection waits for its one response. */
    void onRequest(ClientConnection client, Request request);

    /** A request is rejected without further checks, as too many clients are connected. */
    void onRejected(Request request);
  }

  private final EventLoop loop;
  private final Lifecycle lifecycle;
  private final long maxBodyBytes;
  private final RequestReceiver receiver;
  private final Supplier<String> readinessRemark;
  private final ClientConnectionTable connections;
  private final MemoryBudget memoryBudget;
  private final ReadAheadBudget readAheadBudget;
  private final BodyArrivalChecker arrivalChecker;
  private final ThrottledEventLog errorLog;
  private final ClientConnectionCounters counters = new ClientConnectionCounters();
  private AsynchronousServerSocketChannel channel;
  private boolean isStarted;
  private boolean isAccepting;
  private TimerQueue.Timer evictionTimer;
  private long acceptedConnections;

  /**
   * Creates a listener that does not listen yet.
   *
   * @param maxClients limit on connections of clients; a few more are accepted, to have their
   *     requests rejected
   * @param maxBodyBytes length of the longest request body, in bytes
   * @param memoryBudget the memory that all connections may hold for messages
   * @param readinessRemark appended to the phase in the response to a readiness check
   */
  public ClientListener(
      EventLoop loop,
      Lifecycle lifecycle,
      int maxClients,
      long maxBodyBytes,
      RequestReceiver receiver,
      MemoryBudget memoryBudget,
      Supplier<String> readinessRemark) {
    this.loop = loop;
    this.lifecycle = lifecycle;
    this.maxBodyBytes = maxBodyBytes;
    this.receiver = receiver;
    this.memoryBudget = memoryBudget;
    readAheadBudget = new ReadAheadBudget(memoryBudget);
    this.readinessRemark = readinessRemark;
    connections = new ClientConnectionTable(maxClients);
    arrivalChecker = new BodyArrivalChecker(loop);
    errorLog = new ThrottledEventLog(loop::now);
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
    channel.setOption(StandardSocketOptions.SO_RCVBUF, BodyArrival.RECEIVE_BUFFER_BYTES);
    channel.setOption(StandardSocketOptions.SO_REUSEPORT, true).bind(address, BACKLOG);
  }

  /** Whether the listening socket is bound and open. */
  public boolean isListening() {
    return channel != null && channel.isOpen();
  }

  /**
   * The port it listens on.
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
    try {
      new ClientConnection(this, loop, client).start();
      evictSurplus();
    } finally {
      accept(); // even if this step failed, as other clients are waiting
    }
  }

  /**
   * Accepting failed, most likely as no file descriptor is left: one connection is evicted, and
   * accepting pauses.
   */
  private void onAcceptFailed(Throwable cause) {
    isAccepting = false;
    if (isListening()) {
      counters.countFailedAccept();
      loop.schedule(RETRY_PAUSE, this::accept);
      errorLog.log("not accepted", cause.toString());
      connections.evict(1);
    }
  }

  private void evictSurplus() {
    connections.evictSurplus();
    if (connections.hasSurplus()) {
      scheduleEviction();
    }
  }

  /** Schedules another search for connections to evict, as the connection limit is reached. */
  private void scheduleEviction() {
    if (evictionTimer == null) {
      evictionTimer = loop.schedule(EVICTION_INTERVAL, this::evictAndAccept);
    }
  }

  private void evictAndAccept() {
    evictionTimer = null;
    try {
      connections.evictSlowHeads();
      evictSurplus();
    } finally {
      accept();
    }
  }

  /**
   * Closes the listening socket once all clients that have connected by now are accepted. Closing
   * it before that would reset their connections.
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
          } else if (!isAccepting) { // the connection limit is reached: retry later
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
      EventLog.warning("listening socket not closed", null, e.toString());
    }
  }

  // ---- the connections

  /** Sets the limit on connections from now on; surplus ones are closed as they become idle. */
  public void setMaxClients(int maxClients) {
    connections.setMaxConnections(maxClients);
    evictSurplus();
    accept();
  }

  /** The counters of evicted connections, dropped reads and failed accepts. */
  public ClientConnectionCounters counters() {
    return counters;
  }

  /** Registers an accepted connection, and returns its slot. */
  int register(ClientConnection client) {
    return connections.add(client);
  }

  /** Removes the connection in this slot, which has closed; another one may be accepted. */
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

  /** The memory that all connections may hold for messages. */
  MemoryBudget memoryBudget() {
    return memoryBudget;
  }

  /** The budget of bytes read ahead, which all connections share. */
  ReadAheadBudget readAheadBudget() {
    return readAheadBudget;
  }

  /** The check, shared by all connections, of which reads of long bodies wait. */
  BodyArrivalChecker arrivalChecker() {
    return arrivalChecker;
  }

  /** Length of the longest request body, in bytes. */
  long maxBodyBytes() {
    return maxBodyBytes;
  }

  /**
   * Whether a connection may stay open for a further request: only while few connections are open.
   * Otherwise clients that send one request and stay connected would use up the limit, and others
   * could not connect.
   *
   * @param isRequested whether the client requests to keep it open
   */
  public boolean mayKeepAlive(boolean isRequested) {
    return isRequested && !lifecycle.isShuttingDown() && connections.hasSpareCapacity();
  }

  // ---- the requests

  /**
   * Responds to a received request if it is a readiness check or if too many requests are open;
   * passes it to the receiver otherwise.
   */
  void onRequest(ClientConnection client, Request request) {
    String path = request.target().split("\\?", 2)[0];
    if (path.equals(ProtocolMapping.READY_PATH)) {
      respondToReadinessCheck(client, request);
    } else if (connections.hasTooManyRequests()) {
      reject(client, request, connections.size() + " clients are connected");
    } else if (lacksMemoryFor(request)) {
      memoryBudget.countRejectedRequest();
      reject(client, request, memoryBudget.usedBytes() + " bytes are in use for messages");
    } else {
      receiver.onRequest(client, request);
    }
  }

  /** Whether the memory for messages is used up and the request is not a small one. */
  private boolean lacksMemoryFor(Request request) {
    return memoryBudget.isExceeded() && request.heldBytes() >= MemoryBudget.MIN_RECLAIMED_BYTES;
  }

  private void reject(ClientConnection client, Request request, String cause) {
    errorLog.log("denied", cause);
    receiver.onRejected(request);
    client.sendResponse(ProtocolMapping.rejection(0, false));
  }

  private void respondToReadinessCheck(ClientConnection client, Request request) {
    int status = lifecycle.isReady() ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE;
    String text = lifecycle.phase().name() + readinessRemark.get();
    boolean keepsAlive = mayKeepAlive(request.keepAlive());
    client.sendResponse(ProtocolMapping.textResponse(status, text, keepsAlive));
  }

  /** Logs that the proxy itself, rather than a backend, responds to a request with an error. */
  public void logErrorResponse(int status, String reason) {
    errorLog.log("answered " + status, reason);
  }
}
