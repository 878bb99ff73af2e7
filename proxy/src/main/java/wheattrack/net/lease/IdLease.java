package wheattrack.net.lease;

/**
 * The right of this process to handle requests with one id, until its time is over or it is
 * released. Runs on the event loop's thread only.
 */
public final class IdLease {
  private static final int NO_SLOT = -1;

  private final IdLeaseTable table;
  private final int slot;
  private long word;

  private IdLease(IdLeaseTable table, int slot, long word) {
    this.table = table;
    this.slot = slot;
    this.word = word;
  }

  /** A lease in a slot of the table, which holds this word. */
  static IdLease inSlot(IdLeaseTable table, int slot, long word) {
    return new IdLease(table, slot, word);
  }

  /** A lease that other processes do not see, as the table cannot be used or is full. */
  static IdLease unshared(IdLeaseTable table) {
    return new IdLease(table, NO_SLOT, 0);
  }

  /** Whether other processes see it. */
  boolean isShared() {
    return slot != NO_SLOT;
  }

  /**
   * Lets it last for at least this time from now. Does nothing if its time is over already: another
   * process may have taken the id since.
   *
   * @param duration in milliseconds
   */
  public void extend(long duration) {
    if (isShared()) {
      word = table.extend(slot, word, duration);
    }
  }

  /** Ends it, so that any process may take the id; does nothing if its time is over. */
  public void release() {
    if (isShared()) {
      table.release(slot, word);
    }
  }
}
