package wheattrack.state;

/** Closes connections to backends that have idled for longer than they are worth. */
public final class IdleConnections {
  private IdleConnections() {}

  /** Closes them at all backends; to be called periodically. */
  public static void close(PolicyState state) {
    long worthTime = state.traffic().idleConnectionTime();
    for (BackendState backend : state.backends().all()) {
      if (backend.areConnectionsIdleFor(worthTime, state.now())) {
        backend.markConnectionsClosed();
        state.runtime().closeIdleConnections(backend.index());
      }
    }
  }
}
