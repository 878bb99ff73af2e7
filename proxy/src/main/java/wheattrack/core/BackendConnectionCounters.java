package wheattrack.core;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts, since the start of the process, connections to backends by the reason for which they were
 * opened, and those that were not used again by its reason. Runs on the event loop's thread only.
 */
public final class BackendConnectionCounters {
  private final Map<ConnectReason, Long> opened = new EnumMap<>(ConnectReason.class);
  private final Map<NoReuseReason, Long> notReused = new EnumMap<>(NoReuseReason.class);

  /** Counts a connection that is being opened. */
  public void countOpened(ConnectReason reason) {
    opened.merge(reason, 1L, Long::sum);
  }

  /** The number of connections opened for this reason. */
  public long opened(ConnectReason reason) {
    return opened.getOrDefault(reason, 0L);
  }

  /** Counts a connection that carries no further request. */
  public void countNotReused(NoReuseReason reason) {
    notReused.merge(reason, 1L, Long::sum);
  }

  /** The number of connections that have carried no further request for this reason. */
  public long notReused(NoReuseReason reason) {
    return notReused.getOrDefault(reason, 0L);
  }
}
