package wheattrack.net.backend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import wheattrack.aio.EventLoop;
import wheattrack.api.AttemptOutcome;
import wheattrack.core.BackendIndex;
import wheattrack.core.ConnectReason;
import wheattrack.core.TimerQueue;

/**
 * The connections to one backend, and the attempts that wait for one. Runs on the event loop's
 * thread only.
 */
public final class BackendConnectionPool extends BackendIndex.Backend<String> {
  final EventLoop loop;
  private final Connector connector;

  /** Idle connections, the one used last at the end. */
  private final List<BackendConnection> idle = new ArrayList<>();

  /** Connections that are being opened, to the current address. */
  private final List<BackendConnection> connecting = new ArrayList<>();

  /** Attempts without a connection, the one that waits longest first. */
  private final Deque<BackendAttempt> waiting = new ArrayDeque<>();

  /** Whether a step that gives idle connections to waiting attempts is scheduled. */
  private boolean isAssignmentScheduled;

  /** Runs until the first idle connection leaves its quarantine, or null. */
  private TimerQueue.Timer quarantineTimer;

  private InetSocketAddress address;
  private boolean isServing;

  /** When the backend, as it is listed now, started; tenths of a millisecond. */
  private long startedAt;

  /** Creates an empty pool for a backend of which no address is known yet. */
  public BackendConnectionPool(String id, int index, Connector connector) {
    super(id, index);
    this.connector = connector;
    loop = connector.loop();
  }

  /** The backend's address, as listed last. */
  InetSocketAddress address() {
    return address;
  }

  /** The variety of all backends' responses to requests of this class. */
  public ResponseVariety responseVariety(String className) {
    return connector.recentResponses().variety(className);
  }

  // ---- the backend's state in the endpoint list

  /**
   * The backend is listed as serving at this address. Idle connections and those being opened are
   * closed if they lead to another address or to an earlier incarnation of the backend.
   *
   * @param startedAt when the backend started, in tenths of a millisecond
   */
  public void onServing(InetSocketAddress address, long startedAt) {
    isServing = true;
    this.startedAt = startedAt;
    this.address = address;
    List.copyOf(idle).stream().filter(this::isOutdated).forEach(BackendConnection::close);
    List<BackendConnection> outdated = connecting.stream().filter(this::isOutdated).toList();
    connecting.removeAll(outdated);
    outdated.forEach(BackendConnection::close);
    assignConnections();
  }

  /** Whether it leads to another address, or to an earlier incarnation of this backend. */
  private boolean isOutdated(BackendConnection connection) {
    return !connection.remoteAddress().equals(address) || connection.openedAt() < startedAt;
  }

  /** Whether the backend is listed as serving. */
  public boolean isServing() {
    return isServing;
  }

  /** When the backend, as it was listed last, started; tenths of a millisecond. */
  public long startedAt() {
    return startedAt;
  }

  /** The backend is draining or removed: attempts that have not started are discarded. */
  public void onDraining() {
    isServing = false;
    for (BackendAttempt attempt : List.copyOf(waiting)) {
      loop.defer(() -> attempt.abandon(AttemptOutcome.DISCARDED));
    }
    closeIdleConnections();
  }

  /** Closes the idle connections. */
  public void closeIdleConnections() {
    List.copyOf(idle).forEach(BackendConnection::close);
  }

  // ---- attempts

  /**
   * Sends the attempt on the idle connection used last, else on the first that becomes idle or is
   * opened.
   */
  public void send(BackendAttempt attempt) {
    attemptStarted();
    waiting.add(attempt);
    assignConnections();
  }

  /** Removes an attempt that has ended from those that wait. */
  void removeWaiting(BackendAttempt attempt) {
    waiting.remove(attempt);
  }

  /** Discards the waiting attempts that are past the time until which they may start. */
  private void discardOverdue() {
    // After a stall of the process, waiting attempts may be past that time.
    for (BackendAttempt attempt : List.copyOf(waiting)) {
      if (loop.now() >= attempt.latestStart()) {
        attempt.abandon(AttemptOutcome.DISCARDED);
      }
    }
  }

  // ---- assignment of connections to attempts

  /**
   * Finds connections for the waiting attempts: idle ones, in a later step, so that the pending
   * close of one by its backend is handled first; ones in quarantine, as soon as that is over; or
   * new ones.
   */
  private void assignConnections() {
    if (waiting.isEmpty() || isAssignmentScheduled) {
      return;
    }
    long usableFrom =
        idle.stream()
            .filter(connection -> waiting.stream().anyMatch(connection::mayCarry))
            .mapToLong(BackendConnection::usableFrom)
            .min()
            .orElse(Long.MAX_VALUE);
    if (usableFrom <= loop.now()) {
      isAssignmentScheduled = true;
      loop.execute(this::assignIdleConnections);
      return;
    }
    connectForWaiting();
    if (usableFrom < Long.MAX_VALUE && quarantineTimer == null) {
      quarantineTimer = loop.schedule(usableFrom - loop.now(), this::onQuarantineEnded);
    }
  }

  private void onQuarantineEnded() {
    quarantineTimer = null;
    assignConnections();
  }

  private void assignIdleConnections() {
    isAssignmentScheduled = false;
    closeOverdueIdleConnections();
    discardOverdue();
    for (BackendAttempt attempt : List.copyOf(waiting)) {
      BackendConnection connection = usableConnection(attempt);
      if (connection != null && waiting.remove(attempt)) {
        idle.remove(connection);
        connection.send(attempt);
      }
    }
    assignConnections();
  }

  /** Closes idle connections that have exceeded the idle timeout. */
  private void closeOverdueIdleConnections() {
    for (BackendConnection connection : List.copyOf(idle)) {
      if (connection.hasExceededIdleTimeout()) {
        connection.close();
      }
    }
  }

  /** The usable connection that the attempt should use, or null. */
  private BackendConnection usableConnection(BackendAttempt attempt) {
    return preferredConnection(
        idle, connection -> connection.usableFrom() <= loop.now() && connection.mayCarry(attempt));
  }

  /**
   * The candidate used last of those that only some attempts may use, else the candidate used last;
   * null if there is none.
   */
  private static BackendConnection preferredConnection(
      List<BackendConnection> connections, Predicate<BackendConnection> isCandidate) {
    BackendConnection preferred = null;
    for (int i = connections.size() - 1; i >= 0; i--) {
      BackendConnection connection = connections.get(i);
      if (isCandidate.test(connection)) {
        if (connection.isRestricted()) {
          return connection;
        }
        preferred = preferred == null ? connection : preferred;
      }
    }
    return preferred;
  }

  /** Opens connections until there is one, usable or not yet, for each waiting attempt. */
  private void connectForWaiting() {
    int neededConnections = attemptsWithoutIdleConnection().size();
    boolean mayConnect = true;
    while (mayConnect && connecting.size() < neededConnections) {
      mayConnect = connectFor(waiting.peekLast());
    }
  }

  /** The waiting attempts for which there is no idle connection, usable or not yet. */
  private List<BackendAttempt> attemptsWithoutIdleConnection() {
    if (idle.isEmpty()) {
      return List.copyOf(waiting);
    }
    List<BackendConnection> available = new ArrayList<>(idle);
    List<BackendAttempt> attempts = new ArrayList<>();
    for (BackendAttempt attempt : waiting) {
      BackendConnection connection =
          preferredConnection(available, candidate -> candidate.mayCarry(attempt));
      if (connection == null) {
        attempts.add(attempt);
      } else {
        available.remove(connection);
      }
    }
    return attempts;
  }

  /**
   * Starts to connect; if that is not possible, discards the attempt in a later step.
   *
   * @return whether connecting has started
   */
  private boolean connectFor(BackendAttempt attempt) {
    try {
      connecting.add(connector.connect(this, connectReason(attempt)));
      return true;
    } catch (IOException e) { // no descriptor or the limit: the policy may use another backend
      loop.defer(
          () -> {
            attempt.abandon(AttemptOutcome.DISCARDED);
            assignConnections();
          });
      return false;
    }
  }

  private ConnectReason connectReason(BackendAttempt attempt) {
    if (idle.isEmpty()) {
      return ConnectReason.NONE_IDLE;
    }
    return attempt.needsNewConnection() ? ConnectReason.NEW_REQUIRED : ConnectReason.OTHER_USE;
  }

  // ---- notifications from connections

  /** The connection is open. */
  void onConnected(BackendConnection connection) {
    if (!connecting.remove(connection)) {
      return;
    }
    discardOverdue();
    if (waiting.isEmpty()) {
      addIdle(connection, 0);
      return;
    }
    List<BackendAttempt> withoutIdleConnection = attemptsWithoutIdleConnection();
    BackendAttempt next =
        withoutIdleConnection.isEmpty() ? waiting.peekFirst() : withoutIdleConnection.get(0);
    waiting.remove(next);
    connection.send(next);
  }

  /** Connecting has failed or timed out. */
  void onConnectFailed(BackendConnection connection) {
    if (!connecting.remove(connection)) {
      return;
    }
    List<BackendAttempt> withoutIdleConnection = attemptsWithoutIdleConnection();
    if (withoutIdleConnection.size() > connecting.size()) {
      withoutIdleConnection.get(0).end(AttemptOutcome.NO_CONNECT, null);
    }
  }

  /**
   * The response on this connection is complete. The connection is first in quarantine: surplus
   * bytes that arrive within it close the connection before it carries another request.
   */
  void release(BackendConnection connection) {
    addIdle(connection, connector.quarantineTime());
    assignConnections();
  }

  private void addIdle(BackendConnection connection, long quarantine) {
    if (isServing && !isOutdated(connection)) {
      idle.add(connection);
      connection.becomeIdle(quarantine);
    } else {
      connection.close();
    }
  }

  /** The connection is closed. */
  void onClosed(BackendConnection connection) {
    if (idle.remove(connection) && !waiting.isEmpty()) {
      loop.defer(this::assignConnections); // an attempt may have been waiting for it
    }
  }
}
