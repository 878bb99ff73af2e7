package wheattrack.lab.virtual;

import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.core.TimerQueue;
import wheattrack.lab.model.ReceivedAttempt;
import wheattrack.lab.model.SimulatedBackend;

/**
 * One attempt of a proxy of the virtual run: takes or opens a connection, sends the request and
 * passes the outcome to the policy, each with the delays of the link. Times are tenths of a
 * millisecond from the start of the run.
 */
final class VirtualAttempt implements ReceivedAttempt {
  private final VirtualRun run;
  private final VirtualProxy proxy;
  private final VirtualRequest request;
  private final VirtualConnections connections;
  private final SimulatedBackend backend;
  private final AttemptCallback callback;
  private final long createdAt;
  private final int proxyIncarnation;
  private TimerQueue.Timer timeoutTimer;
  private boolean isSent;
  private boolean hasEnded;
  private boolean holdsConnection;
  private int backendIncarnation;
  private Runnable closeHandler;

  VirtualAttempt(
      VirtualRun run,
      VirtualProxy proxy,
      VirtualRequest request,
      VirtualConnections connections,
      AttemptCallback callback) {
    this.run = run;
    this.proxy = proxy;
    this.request = request;
    this.connections = connections;
    this.callback = callback;
    backend = run.backend(connections.id());
    createdAt = run.now();
    proxyIncarnation = proxy.incarnation();
  }

  @Override
  public long requestId() {
    return request.clientRequest().requestId();
  }

  @Override
  public int proxy() {
    return proxy.index();
  }

  @Override
  public double work() {
    return request.clientRequest().plan().work();
  }

  @Override
  public long deadline() {
    return request.clientRequest().deadline();
  }

  @Override
  public void onConnectionClosed(Runnable handler) {
    closeHandler = handler;
  }

  @Override
  public void completed(AttemptOutcome outcome) {
    run.schedule(
        linkDelay(),
        () -> {
          if (isOfCurrentProxyProcess()) {
            end(outcome);
          }
        });
  }

  /** Whether its first byte has been sent. */
  boolean isSent() {
    return isSent;
  }

  long createdAt() {
    return createdAt;
  }

  /** Starts it; unless it ends before the timeout, it is abandoned with TIMEOUT. */
  void start(long timeout) {
    connections.attemptStarted();
    timeoutTimer = run.schedule(timeout, () -> abandon(AttemptOutcome.TIMEOUT));
    connections.dropBroken(backend.incarnation());
    long delay = linkDelay();
    if (connections.takeIdle()) {
      send(delay, false);
    } else {
      connect(delay);
    }
  }

  private void connect(long delay) {
    if (backend.state() == SimulatedBackend.State.SILENT) {
      run.schedule(VirtualProxy.CONNECT_TIMEOUT, () -> end(AttemptOutcome.NO_CONNECT));
      return;
    }
    boolean isRefused =
        backend.state() == SimulatedBackend.State.DEAD || !backend.tryAcceptConnection();
    if (isRefused) {
      run.schedule(2 * delay, () -> end(AttemptOutcome.NO_CONNECT));
      return;
    }
    int incarnation = backend.incarnation();
    connections.connecting(incarnation);
    run.schedule(2 * delay, () -> connected(incarnation, delay));
  }

  private void connected(int incarnation, long delay) {
    if (incarnation != backend.incarnation()) {
      end(AttemptOutcome.NO_CONNECT);
    } else if (hasEnded || !isOfCurrentProxyProcess()) {
      backend.connectionClosed(incarnation);
    } else {
      send(delay, true);
    }
  }

  /**
   * Sends the request, unless the deduplication window of its key is over, as the backend could
   * then run it a second time.
   */
  private void send(long delay, boolean onNewConnection) {
    holdsConnection = true;
    backendIncarnation = backend.incarnation();
    if (isPastDeduplicationWindow()) {
      end(AttemptOutcome.DISCARDED);
      return;
    }
    isSent = true;
    long sentAt = run.now();
    run.schedule(delay, () -> arrive(sentAt, onNewConnection));
  }

  private boolean isPastDeduplicationWindow() {
    RequestClass requestClass = request.pending().requestClass();
    return requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
        && run.now() >= request.firstAttemptAt() + requestClass.deduplicationWindow();
  }

  private void arrive(long sentAt, boolean onNewConnection) {
    if (hasEnded && backend.state() == SimulatedBackend.State.SILENT) {
      return;
    }
    if (backendIncarnation != backend.incarnation()) {
      run.schedule(linkDelay(), () -> end(AttemptOutcome.RESET));
    } else {
      backend.receive(this, sentAt, onNewConnection);
    }
  }

  /** Ends it on the proxy's side; with DISCARDED if no byte was sent, as it never ran then. */
  void abandon(AttemptOutcome outcome) {
    end(isSent ? outcome : AttemptOutcome.DISCARDED);
  }

  /** Ends it, once; further calls have no effect. */
  void end(AttemptOutcome outcome) {
    if (hasEnded) {
      return;
    }
    hasEnded = true;
    connections.attemptEnded();
    run.cancel(timeoutTimer);
    releaseConnection(outcome);
    if (outcome == AttemptOutcome.DONE && !request.hasEnded()) {
      proxy.succeed(request);
    }
    run.schedule(
        0,
        () -> {
          if (isOfCurrentProxyProcess()) {
            callback.ended(outcome, run.now() - createdAt, request.hasEnded());
          }
        });
  }

  /** Returns the connection to the idle ones after a complete answer, and closes it otherwise. */
  private void releaseConnection(AttemptOutcome outcome) {
    if (!holdsConnection) {
      return;
    }
    holdsConnection = false;
    boolean isAnswered =
        switch (outcome) {
          case DONE, ERROR, FULL -> true;
          default -> false;
        };
    if (isAnswered && connections.incarnation() == backend.incarnation()) {
      connections.returnIdle();
      return;
    }
    int incarnation = backendIncarnation;
    Runnable handler = closeHandler;
    run.schedule(
        linkDelay(),
        () -> {
          backend.connectionClosed(incarnation);
          if (handler != null && incarnation == backend.incarnation()) {
            handler.run();
          }
        });
  }

  /** Ends it without an outcome and breaks its connection, as the proxy's process was killed. */
  void proxyKilled() {
    hasEnded = true;
    run.cancel(timeoutTimer);
    boolean isConnected = holdsConnection && backendIncarnation == backend.incarnation();
    if (isConnected && closeHandler != null) {
      run.schedule(linkDelay(), closeHandler);
    }
  }

  private boolean isOfCurrentProxyProcess() {
    return proxyIncarnation == proxy.incarnation();
  }

  private long linkDelay() {
    return run.oneWayDelay(proxy.zone(), backend);
  }
}
