package wheattrack.lab.scale;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The revisions of a source: the latest one as a complete snapshot, and a bounded number of changes
 * before it. Not thread-safe.
 */
final class SourceHistory {
  private static final int MAX_CHANGES = 20_000;

  private final VersionedSource source;
  private final Deque<String> changes = new ArrayDeque<>();
  private long revision = 1;

  /** The snapshot of the latest revision, or null until it is needed. */
  private String snapshot;

  SourceHistory(VersionedSource source) {
    this.source = source;
  }

  /** The latest revision. */
  long revision() {
    return revision;
  }

  /** Changes that many entries from this one on, as one revision, and returns the change. */
  String change(int first, int count) {
    revision++;
    String change = source.change(revision, first, count);
    snapshot = null;
    changes.add(change);
    if (changes.size() > MAX_CHANGES) {
      changes.remove();
    }
    return change;
  }

  /** All entries as of the latest revision. */
  String snapshot() {
    if (snapshot == null) {
      snapshot = source.snapshot(revision);
    }
    return snapshot;
  }

  /**
   * What a client needs that knows this revision: the changes since, or a snapshot where it knows
   * none (below 0) or one that is not in the history.
   */
  List<String> since(long knownRevision) {
    if (knownRevision < revision - changes.size() || knownRevision > revision) {
      return List.of(snapshot());
    }
    return changes.stream().skip(changes.size() - (revision - knownRevision)).toList();
  }
}
