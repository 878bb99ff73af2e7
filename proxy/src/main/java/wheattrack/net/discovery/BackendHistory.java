package wheattrack.net.discovery;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What is known of backends that drain or have left the endpoint list, for as long as an older list
 * may still name them as serving. It outlives the list that it was learned from, its revision, its
 * address and the backend's index, and decides whether an entry of a list is newer than what is
 * known. Times are tenths of a millisecond. Not thread-safe.
 *
 * <p>Revisions of one source only grow. Those of two sources are taken for comparable only where
 * that is on the safe side: an entry of a lower revision is older, one of a higher revision may be.
 */
final class BackendHistory {
  /** The time of a hold that is not needed. */
  static final long NO_HOLD = Long.MIN_VALUE;

  /**
   * How long a source may list a backend as serving, by an older list, before it is believed: its
   * revisions may have begun anew. Twice the time by which a list may be late.
   */
  static final long OLDER_LIST_HOLD = 2 * WatchConnection.NOTIFICATION_LIMIT;

  /** How long the end of a backend is kept after it was learned, at least. */
  private static final long RETENTION = 50 * WatchConnection.NOTIFICATION_LIMIT;

  /**
   * The end of a backend's service.
   *
   * @param startedAt when the incarnation that ended had started; 0 or less: unknown
   * @param revision of the newest list that is known to tell it
   * @param source number of the source of that list
   * @param learnedAt when it was learned first
   */
  private record End(long startedAt, long revision, int source, long learnedAt) {}

  private final Map<String, End> ends = new HashMap<>();
  private int source;
  private long newestRevision = -1;
  private long newestReceivedAt = Long.MIN_VALUE;
  private long nextPurgeAt = Long.MIN_VALUE;

  /** Another source is used from now on, whose revisions may be unrelated. */
  void onSourceChanged() {
    source++;
  }

  /**
   * Another set of backends is listed from now on: that one was not on the newest list says
   * nothing.
   */
  void onScopeChanged() {
    onSourceChanged();
    newestRevision = -1;
  }

  /** The greatest revision of an event since the scope changed; negative: there was none. */
  long newestRevision() {
    return newestRevision;
  }

  /** An event has been applied. */
  void onEventApplied(long revision, long now) {
    if (revision >= newestRevision) {
      newestRevision = revision;
      newestReceivedAt = now;
    }
    if (now >= nextPurgeAt) {
      ends.values().removeIf(end -> now - end.learnedAt > RETENTION);
      nextPurgeAt = now + RETENTION;
    }
  }

  /** A complete list of this revision names only these backends: the others are still gone. */
  void onSnapshot(long revision, Set<?> ids) {
    if (revision < newestRevision) {
      return;
    }
    ends.replaceAll(
        (id, end) ->
            ids.contains(id) || end.revision >= revision
                ? end
                : new End(end.startedAt, revision, source, end.learnedAt));
  }

  /**
   * An event tells that a backend drains or has left the list.
   *
   * @param startedAt when its last known incarnation started
   * @param wasServing whether it was known as serving; if not, an older list tells nothing new
   */
  void onEnd(String id, long startedAt, long revision, boolean wasServing, long now) {
    End known = ends.get(id);
    if (known == null) {
      long tellingRevision = wasServing ? revision : Math.max(revision, newestRevision);
      ends.put(id, new End(startedAt, tellingRevision, source, now));
    } else if (known.revision <= revision) {
      ends.put(id, new End(startedAt, revision, source, known.learnedAt));
    }
  }

  /** A backend serves, or serves again. */
  void onServing(String id) {
    ends.remove(id);
  }

  /** The latest start of a backend whose end is known; 0 if none is. */
  long startOfEnded(String id) {
    End end = ends.get(id);
    return end == null ? 0 : end.startedAt;
  }

  /** Whether the end of this backend is known. */
  boolean hasEnded(String id) {
    return ends.containsKey(id);
  }

  /**
   * Until when a backend that is not known as serving must not be used, though an event of this
   * revision lists it as serving; {@link #NO_HOLD}: the event is newer than what is known.
   *
   * @param startedAt when the listed incarnation started; 0 or less: unknown
   */
  long holdUntil(String id, long startedAt, long revision, long now) {
    End end = ends.get(id);
    if (end == null) {
      boolean isNew = revision >= newestRevision || startedAt > newestReceivedAt;
      return isNew ? NO_HOLD : now + OLDER_LIST_HOLD;
    }
    boolean isNewIncarnation = startedAt > end.startedAt;
    if (isNewIncarnation && (revision >= end.revision || startedAt > newestReceivedAt)) {
      return NO_HOLD;
    }
    if (revision <= end.revision) {
      return now + OLDER_LIST_HOLD;
    }
    return end.source == source ? NO_HOLD : end.learnedAt + WatchConnection.NOTIFICATION_LIMIT;
  }
}
