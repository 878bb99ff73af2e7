package wheattrack.net;

import wheattrack.aio.EventLoop;
import wheattrack.config.ProxyConfig;
import wheattrack.core.Lifecycle;
import wheattrack.core.Lifecycle.Phase;
import wheattrack.core.MemoryBudget;
import wheattrack.net.backend.Connector;
import wheattrack.net.client.ClientListener;
import wheattrack.net.request.RequestHandler;

/**
 * The handover of the listening address from an older process of this proxy to a newer one: checks
 * for the other process, divides the descriptors and the memory with it, and shuts this process
 * down gracefully. Runs on the event loop's thread only. Times are tenths of a millisecond.
 */
final class ProcessHandover {
  /** How often to check for the end of the last request while closing. */
  private static final long CLOSE_CHECK_INTERVAL = 100;

  /** How often to check for the other process. */
  private static final long OTHER_PROCESS_CHECK_INTERVAL = 1000;

  private final EventLoop loop;
  private final Lifecycle lifecycle;
  private final ProcessLock processLock;
  private final ConfigurationReloader reloader;
  private final ClientListener clientListener;
  private final Connector connector;
  private final RequestHandler requestHandler;
  private final MemoryBudget memoryBudget;
  private final Runnable controlPlaneCloser;

  /**
   * Creates a handover that has not begun.
   *
   * @param controlPlaneCloser closes, at the end of the shutdown, the connections and sockets that
   *     belong neither to clients nor to backends
   */
  ProcessHandover(
      EventLoop loop,
      Lifecycle lifecycle,
      ProcessLock processLock,
      ConfigurationReloader reloader,
      ClientListener clientListener,
      Connector connector,
      RequestHandler requestHandler,
      MemoryBudget memoryBudget,
      Runnable controlPlaneCloser) {
    this.loop = loop;
    this.lifecycle = lifecycle;
    this.processLock = processLock;
    this.reloader = reloader;
    this.clientListener = clientListener;
    this.connector = connector;
    this.requestHandler = requestHandler;
    this.memoryBudget = memoryBudget;
    this.controlPlaneCloser = controlPlaneCloser;
  }

  /** Checks for another process of this proxy, now and periodically from now on. */
  void watchOtherProcess() {
    boolean wasPresent = processLock.isOtherProcessPresent();
    processLock.refresh();
    boolean isPresent = processLock.isOtherProcessPresent();
    if (wasPresent != isPresent) {
      DescriptorBudget budget = DescriptorBudget.of(reloader.config(), isPresent);
      clientListener.setMaxClients(budget.clients());
      connector.setMaxConnections(budget.backends());
      memoryBudget.setLimit(MessageMemory.limit(reloader.config(), isPresent));
      requestHandler.setOtherProcessPresent(isPresent);
    }
    loop.schedule(OTHER_PROCESS_CHECK_INTERVAL, this::watchOtherProcess);
  }

  /**
   * Begins the graceful shutdown, unless it has begun: keeps accepting requests for the configured
   * time, unless a newer process accepts the new connections; then answers all accepted requests,
   * closes all connections and stops the loop.
   */
  void drain() {
    if (!lifecycle.advanceTo(Phase.DRAINING)) {
      return;
    }
    if (processLock.refresh() == ProcessLock.Role.OLDER) {
      clientListener.stopAccepting(); // the newer process accepts the new connections
    } else if (clientListener.isListening()) {
      clientListener.startAccepting(); // clients in the accept queue must get a response
    }
    ProxyConfig config = reloader.config();
    loop.schedule(config.drainTime(), () -> loop.execute(this::close));
  }

  private void close() {
    lifecycle.advanceTo(Phase.CLOSING);
    clientListener.stopAccepting();
    long deadline = loop.now() + reloader.longestClientTimeout();
    requestHandler.setShutdownTime(deadline);
    loop.execute(() -> stopWhenAnswered(deadline));
  }

  private void stopWhenAnswered(long deadline) {
    clientListener.closeIdleConnections();
    boolean isAnswered =
        !clientListener.isListening()
            && clientListener.connectionCount() == 0
            && requestHandler.openRequests() == 0;
    if (isAnswered || loop.now() >= deadline) {
      connector.closeAll();
      controlPlaneCloser.run();
      loop.shutdown();
    } else {
      loop.schedule(CLOSE_CHECK_INTERVAL, () -> loop.execute(() -> stopWhenAnswered(deadline)));
    }
  }
}
