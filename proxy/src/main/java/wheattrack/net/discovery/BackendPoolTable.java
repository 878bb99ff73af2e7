package wheattrack.net.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
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
 * endpoint list to the pools and passes them on to the policy. A backend that an older list names
 * as serving, against what its {@link BackendHistory} tells, is held: it counts as draining for a
 * limited time. Times are tenths of a millisecond. Runs on the event loop's thread only.
 */
final class BackendPoolTable {
  /**
   * A backend that counts as draining although its entry says that it serves.
   *
   * @param until when it is used all the same, unless another entry has replaced this one
   */
  private record Held(Listed entry, long until) {}

  private final BackendIndex<String, BackendConnectionPool> index;
  private final LongSupplier clock;
  private final BackendHistory history;
  private final Map<String, Held> heldBackends = new LinkedHashMap<>();
  private final List<String> newlyListed = new ArrayList<>();
  private final List<String> newlyHeld = new ArrayList<>();
  private int overLimitCount;
  private LoadBalancer loadBalancer;

  /**
   * Creates an empty table.
   *
   * @param clock the current time
   * @param connector opens the connections of the pools
   * @param history what is known of backends that do not serve
   */
  BackendPoolTable(LongSupplier clock, Connector connector, BackendHistory history) {
    this.clock = clock;
    this.history = history;
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
    newlyHeld.clear();
    overLimitCount = 0;
  }

  /**
   * Applies the ids of a complete list: removes all listed backends that are not among them.
   *
   * @param isNewScope whether it is the first list of another scope, so that a backend that it does
   *     not name may still serve
   */
  void removeAllExcept(Set<?> ids, long revision, boolean isNewScope) {
    for (BackendConnectionPool pool : index.listedExcept(ids)) {
      if (isNewScope && pool.isServing()) {
        remove(pool);
      } else {
        end(pool.id(), revision);
      }
    }
    history.onSnapshot(revision, ids);
  }

  /**
   * Applies an entry.
   *
   * @param revision that of the event
   */
  void apply(Entry entry, long revision) {
    if (entry instanceof Listed listed) {
      update(listed, revision);
    } else if (entry instanceof Deleted deleted) {
      end(deleted.id(), revision);
    }
  }

  /** The backend has left the list. */
  private void end(String id, long revision) {
    heldBackends.remove(id);
    history.onEnd(id, latestStart(id), revision, isServing(id), clock.getAsLong());
    remove(index.find(id));
  }

  private void remove(BackendConnectionPool pool) {
    if (index.markUnlisted(pool)) {
      long number = EndpointListParser.backendNumber(pool.id());
      EventLog.detail("srv", Long.toString(number), () -> pool.id() + " gone");
      loadBalancer.removeBackend(pool.index());
      pool.onDraining();
    }
  }

  private boolean isServing(String id) {
    BackendConnectionPool pool = index.find(id);
    return pool != null && pool.isServing();
  }

  /** When the latest known incarnation of the backend started; 0 or less: unknown. */
  private long latestStart(String id) {
    BackendConnectionPool pool = index.find(id);
    long startOfPool = pool == null ? 0 : pool.startedAt();
    return Math.max(startOfPool, history.startOfEnded(id));
  }

  private void update(Listed entry, long revision) {
    String id = entry.id();
    long startedAt = Math.max(entry.startedAt(), latestStart(id));
    if (entry.state() != State.SERVING) {
      heldBackends.remove(id);
      history.onEnd(id, startedAt, revision, isServing(id), clock.getAsLong());
      list(entry, startedAt, false);
      return;
    }
    boolean isOlder = revision < history.newestRevision() && entry.startedAt() < startedAt;
    if (isServing(id) && isOlder) {
      return; // of an earlier incarnation than the one that is known to serve
    }
    long holdUntil =
        isServing(id)
            ? BackendHistory.NO_HOLD
            : history.holdUntil(id, entry.startedAt(), revision, clock.getAsLong());
    if (holdUntil > clock.getAsLong()) {
      hold(entry, holdUntil);
      list(entry, startedAt, false);
    } else {
      serve(entry, startedAt);
    }
  }

  private void serve(Listed entry, long startedAt) {
    heldBackends.remove(entry.id());
    history.onServing(entry.id());
    list(entry, startedAt, true);
  }

  private void hold(Listed entry, long until) {
    Held known = heldBackends.get(entry.id());
    long earliest = known == null ? until : Math.min(known.until, until);
    heldBackends.put(entry.id(), new Held(entry, earliest));
    if (known == null) {
      newlyHeld.add(entry.id());
    }
  }

  /**
   * Uses held backends again.
   *
   * @return whether there was any
   */
  private boolean release(Predicate<Held> condition) {
    List<Held> released = heldBackends.values().stream().filter(condition).toList();
    for (Held held : released) {
      serve(held.entry, Math.max(held.entry.startedAt(), latestStart(held.entry.id())));
    }
    return !released.isEmpty();
  }

  /** Uses the held backends again whose time is over; returns whether there was any. */
  boolean releaseDue() {
    long now = clock.getAsLong();
    return release(held -> held.until <= now);
  }

  /**
   * Uses the held backends of which no end is known if no other backend serves: the revisions of
   * the list's source have most likely begun anew.
   */
  void releaseUnknownIfNoneServes() {
    if (!heldBackends.isEmpty() && !index.anyListed(BackendConnectionPool::isServing)) {
      release(held -> !history.hasEnded(held.entry.id()));
    }
  }

  /** The source of the list is silent, and so can't tell that held backends still drain. */
  void extendHolds() {
    long until = clock.getAsLong() + BackendHistory.OLDER_LIST_HOLD;
    heldBackends.replaceAll((id, held) -> new Held(held.entry, until));
  }

  /** When the next held backend is used again; {@link Long#MAX_VALUE}: none is held. */
  long nextRelease() {
    return heldBackends.values().stream().mapToLong(Held::until).min().orElse(Long.MAX_VALUE);
  }

  /**
   * Lists the backend with the policy.
   *
   * @param startedAt when its latest known incarnation started
   * @param isReady whether it gets new requests
   */
  private void list(Listed entry, long startedAt, boolean isReady) {
    String id = entry.id();
    long number = EndpointListParser.backendNumber(id);
    BackendConnectionPool pool = index.getOrAdd(id);
    boolean isNewlyListed = index.markListed(pool);
    if (isNewlyListed) {
      newlyListed.add(number + ": " + id + " at " + entry.endpoint());
    }
    EventLog.detail(
        "srv", Long.toString(number), () -> id + " " + entry.state() + ", up since " + startedAt);
    if (pool.index() >= LoadBalancer.MAX_BACKENDS) {
      overLimitCount++;
      return;
    }
    loadBalancer.updateBackend(
        new EndpointUpdate(
            pool.index(),
            number,
            isReady,
            entry.zone(),
            entry.cell(),
            entry.kind(),
            entry.weight(),
            startedAt <= 0 ? BackendIndex.LONG_AGO : startedAt,
            isNewlyListed));
    pool.onServing(entry.address(), startedAt);
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
    if (!newlyHeld.isEmpty()) {
      String ids = String.join(", ", newlyHeld);
      EventLog.info("srv held", null, "known to drain or to be gone: " + ids);
    }
    if (overLimitCount > 0) {
      EventLog.warning(
          "left out " + overLimitCount + " of " + entryCount + " entries of the list",
          null,
          "the policy uses at most " + LoadBalancer.MAX_BACKENDS + " backends");
    }
  }
}
