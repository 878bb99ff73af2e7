package wheattrack.lab.scale;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The revisions of a source: the latest one as a complete snapshot, and a bounded number of the
 * changes that led to it. Not thread-safe.
 */
final class SourceHistory {
  private static final int MAX_CHANGES = 20_000;

  private final VersionedSource source;
  private final Deque<String> changes = new ArrayDeque<>();
  private long revision = 1;

  /** The snapshot of the latest revision; null until it is requested. */
  private String snapshot;

  SourceHistory(VersionedSource source) {
    this.source = source;
  }

  /** The latest revision. */
  long revision() {
    return revision;
  }

  /**
   * Changes entries as one new revision and returns the line that describes the change.
   *
   * @param first index of the first changed entry
   * @param count how many entries change, wrapping around after the last
   */
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
   * The lines that bring a client up to date: the changes after the revision that it knows, or a
   * snapshot if the history does not reach back to that revision.
   *
   * @param knownRevision below 0 if the client knows none
   */
  List<String> since(long knownRevision) {
    if (knownRevision < revision - changes.size() || knownRevision > revision) {
      return List.of(snapshot());
    }
    return changes.stream().skip(changes.size() - (revision - knownRevision)).toList();
  }
}
