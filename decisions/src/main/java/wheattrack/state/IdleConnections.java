package wheattrack.state;

/**
 * Closes connections to backends that have been idle for so long that keeping them open costs more
 * than opening new ones.
 */
public final class IdleConnections {
  private IdleConnections() {}

  /** Closes such connections at all backends; must be called periodically. */
  public static void close(PolicyState state) {
    long maxIdleTime = state.traffic().idleConnectionTimeout();
    for (BackendState backend : state.backends().all()) {
      if (backend.areConnectionsIdleFor(maxIdleTime, state.now())) {
        backend.markConnectionsClosed();
        state.runtime().closeIdleConnections(backend.index());
      }
    }
  }
}
