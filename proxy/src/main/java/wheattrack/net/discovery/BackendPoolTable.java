package wheattrack.net.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.LoadBalancer;
import wheattrack.core.BackendIndex;
import wheattrack.log.EventLog;
import wheattrack.net.backend.BackendConnectionPool;
import wheattrack.net.backend.Connector;
import wheattrack.net.discovery.EndpointListParser.Deleted;
import wheattrack.net.discovery.EndpointListParser.Entry;
import wheattrack.net.discovery.EndpointListParser.Listed;
import wheattrack.net.discovery.EndpointListParser.State;

/**
 * The connection pools of the backends, by id and by the policy's index. Applies entries of the
 * endpoint list to the pools and passes them on to the policy. Runs on the event loop's thread
 * only.
 */
final class BackendPoolTable {
  private final BackendIndex<String, BackendConnectionPool> index;
  private final List<String> newlyListed = new ArrayList<>();
  private int overLimitCount;
  private LoadBalancer loadBalancer;

  /** Creates an empty table whose pools open connections through this connector. */
  BackendPoolTable(Connector connector) {
    index =
        new BackendIndex<>(
            (id, backendIndex) -> new BackendConnectionPool(id, backendIndex, connector));
  }

  /** Sets the policy that is notified of each entry; to be called before one is applied. */
  void setLoadBalancer(LoadBalancer loadBalancer) {
    this.loadBalancer = loadBalancer;
  }

  /** The pool of the backend at this index. */
  BackendConnectionPool pool(int backendIndex) {
    return index.get(backendIndex);
  }

  /** Number of listed backends. */
  int listedCount() {
    return index.listedCount();
  }

  /** Number of listed backends beyond the policy's limit; they receive no requests. */
  int unusedCount() {
    return index.listedCountFrom(LoadBalancer.MAX_BACKENDS);
  }

  /** Begins an update: clears the changes that {@link #logChanges} logs. */
  void beginUpdate() {
    newlyListed.clear();
    overLimitCount = 0;
  }

  /** Removes all listed backends whose ids are not among these. */
  void removeAllExcept(Set<?> ids) {
    index.listedExcept(ids).forEach(this::remove);
  }

  /**
   * Applies an entry.
   *
   * @param isStale whether the entry is of an older revision than the table: it adds and changes
   *     backends, but does not reinstate one that is draining or removed
   */
  void apply(Entry entry, boolean isStale) {
    if (entry instanceof Listed listed) {
      update(listed, isStale);
    } else if (entry instanceof Deleted deleted) {
      remove(index.find(deleted.id()));
    }
  }

  private void remove(BackendConnectionPool pool) {
    if (index.markUnlisted(pool)) {
      long number = EndpointListParser.backendNumber(pool.id());
      EventLog.detail("srv", Long.toString(number), () -> pool.id() + " gone");
      loadBalancer.removeBackend(pool.index());
      pool.onDraining();
    }
  }

  private void update(Listed entry, boolean isStale) {
    String id = entry.id();
    long number = EndpointListParser.backendNumber(id);
    BackendConnectionPool knownPool = index.find(id);
    boolean hasStoppedServing =
        isStale && knownPool != null && knownPool.hasStoppedServing(entry.startedAt());
    BackendConnectionPool pool = index.getOrAdd(id);
    boolean isNewlyListed = index.markListed(pool);
    if (isNewlyListed) {
      newlyListed.add(number + ": " + id + " at " + entry.endpoint());
    }
    EventLog.detail(
        "srv",
        Long.toString(number),
        () -> id + " " + entry.state() + ", up since " + entry.startedAt());
    if (pool.index() >= LoadBalancer.MAX_BACKENDS) {
      overLimitCount++;
      return;
    }
    boolean isReady = entry.state() == State.SERVING && !hasStoppedServing;
    loadBalancer.updateBackend(
        new EndpointUpdate(
            pool.index(),
            number,
            isReady,
            entry.zone(),
            entry.cell(),
            entry.kind(),
            entry.weight(),
            entry.startedAt() <= 0 ? BackendIndex.LONG_AGO : entry.startedAt(),
            isNewlyListed));
    pool.onServing(entry.address(), entry.startedAt());
    if (!isReady) {
      pool.onDraining();
    }
  }

  /**
   * Logs the changes since {@link #beginUpdate}, with one line for each kind of change and not for
   * each backend: a line for each backend took 2 ms at a start.
   *
   * @param entryCount number of entries in the event
   */
  void logChanges(int entryCount) {
    if (!newlyListed.isEmpty()) {
      EventLog.info("met srv", null, String.join(", ", newlyListed));
    }
    if (overLimitCount > 0) {
      EventLog.warning(
          "left out " + overLimitCount + " of " + entryCount + " entries of the list",
          null,
          "the policy uses at most " + LoadBalancer.MAX_BACKENDS + " backends");
    }
  }
}
