package wheattrack.state;

/**
 * Closes connections to backends that have been idle for longer than keeping them open is worth.
 */
public final class IdleConnections {
  private IdleConnections() {}

  /** Closes such connections at all backends; must be called periodically. */
  public static void close(PolicyState state) {
    long maxIdleTime = state.traffic().idleConnectionTime();
    for (BackendState backend : state.backends().all()) {
      if (backend.areConnectionsIdleFor(maxIdleTime, state.now())) {
        backend.markConnectionsClosed();
        state.runtime().closeIdleConnections(backend.index());
      }
    }
  }
}
