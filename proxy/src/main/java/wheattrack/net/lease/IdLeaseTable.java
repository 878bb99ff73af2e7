package wheattrack.net.lease;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.function.LongSupplier;
import wheattrack.log.EventLog;

/**
 * The leases on request ids of all processes of one proxy, in memory that they share. Nothing here
 * waits for another process: each change is one atomic compare-and-set of a 64-bit word, and a
 * process that is stopped or killed between two of them leaves words that end by their time. Each
 * process uses its table on one thread.
 *
 * <p>A word holds the fingerprint of an id, the end of its lease, its owner and its state. An id
 * may stand in any slot of one bucket. To acquire a lease, a process writes a tentative word into a
 * free slot, then looks at the other slots: a confirmed word of the same id, or a tentative one in
 * a lower slot, takes precedence, and the own word is withdrawn; a tentative one in a higher slot
 * is removed. Then the own word is confirmed, which fails if another process has removed it. Of two
 * processes each writes its word before it looks, so that at least one sees the other's, and
 * exactly one confirms.
 */
public final class IdLeaseTable {
  /** The longest duration of a lease, in milliseconds; a longer one has to be extended. */
  static final long MAX_DURATION = 600_000;

  /** The part of the memory that the table leaves to its file, in bytes. */
  static final int HEADER_BYTES = 64;

  static final int BUCKETS = 256;
  static final int SLOTS_PER_BUCKET = 32;

  /** The size of the memory, in bytes. */
  static final int BYTES = HEADER_BYTES + BUCKETS * SLOTS_PER_BUCKET * Long.BYTES;

  private static final VarHandle WORDS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private static final long FREE = 0;
  private static final long TENTATIVE = 1;
  private static final long CONFIRMED = 2;
  private static final long STATE_MASK = 3;

  private static final int OWNER_SHIFT = 2;
  private static final long OWNER_MASK = 0x3f;

  /** The end of a lease is counted in units of this many milliseconds, modulo 2^16. */
  private static final long TIME_UNIT = 100;

  private static final int TIME_SHIFT = 8;
  private static final long TIME_MASK = 0xffff;
  private static final long FINGERPRINT_MASK = -1L << 24;
  private static final long MAX_DURATION_UNITS = MAX_DURATION / TIME_UNIT + 1;

  private final LongSupplier clock;
  private final long owner;

  /** The shared memory; null: it cannot be used, or no longer. */
  private ByteBuffer memory;

  private boolean isFullLogged;

  /**
   * Creates a table.
   *
   * @param memory {@link #BYTES} bytes that all processes of the proxy share, aligned to 8 bytes;
   *     null: leases are not shared
   * @param clock the time in milliseconds, the same in all processes
   * @param owner distinguishes this process from others; only its lowest 6 bits are used
   */
  IdLeaseTable(ByteBuffer memory, LongSupplier clock, long owner) {
    this.memory = memory;
    this.clock = clock;
    this.owner = owner & OWNER_MASK;
  }

  /** Creates a table of a process that shares its leases with no other one. */
  public static IdLeaseTable unshared() {
    return new IdLeaseTable(null, () -> 0, 0);
  }

  /** Whether other processes see the leases. */
  boolean isShared() {
    return memory != null;
  }

  /**
   * Acquires a lease on an id.
   *
   * @param digest a digest of the id, all bits of which vary
   * @param duration how long it lasts unless it is extended or released, in milliseconds
   * @return the lease; null: another process has one
   */
  public IdLease acquire(long digest, long duration) {
    if (memory == null) {
      return IdLease.unshared(this);
    }
    try {
      return acquireShared(digest, duration);
    } catch (InternalError e) {
      stopSharing(e);
      return IdLease.unshared(this);
    }
  }

  private IdLease acquireShared(long digest, long duration) {
    long now =
        currentUnit(); // before any word is read, so that an extended one is not taken for over
    int bucket = (int) Math.floorMod(digest, (long) BUCKETS) * SLOTS_PER_BUCKET;
    long tentative = word(digest, endOf(duration), TENTATIVE);
    if (isHeld(bucket, tentative, now)) {
      return null;
    }
    int slot = insert(bucket, tentative, now);
    if (slot < 0) {
      logFull();
      return IdLease.unshared(this);
    }
    if (!takesPrecedence(bucket, slot, tentative, now)) {
      compareAndSet(slot, tentative, FREE);
      return null;
    }
    long confirmed = (tentative & ~STATE_MASK) | CONFIRMED;
    return compareAndSet(slot, tentative, confirmed) ? IdLease.inSlot(this, slot, confirmed) : null;
  }

  private long word(long digest, long end, long state) {
    return (digest & FINGERPRINT_MASK) | (end << TIME_SHIFT) | (owner << OWNER_SHIFT) | state;
  }

  private boolean isHeld(int bucket, long word, long now) {
    for (int slot = bucket; slot < bucket + SLOTS_PER_BUCKET; slot++) {
      if (isLeaseOfSameId(get(slot), word, now)) {
        return true;
      }
    }
    return false;
  }

  /** Writes the word into a free slot of the bucket, and returns the slot; -1 if none is free. */
  private int insert(int bucket, long word, long now) {
    for (int slot = bucket; slot < bucket + SLOTS_PER_BUCKET; slot++) {
      long current = get(slot);
      if (!isLease(current, now) && compareAndSet(slot, current, word)) {
        return slot;
      }
    }
    return -1;
  }

  /** Whether no other word of the same id precedes the tentative one in this slot. */
  private boolean takesPrecedence(int bucket, int ownSlot, long word, long now) {
    for (int slot = bucket; slot < bucket + SLOTS_PER_BUCKET; slot++) {
      long other = get(slot);
      while (slot != ownSlot && isLeaseOfSameId(other, word, now)) {
        boolean isRemovable = (other & STATE_MASK) == TENTATIVE && slot > ownSlot;
        if (!isRemovable) {
          return false;
        }
        compareAndSet(slot, other, FREE); // fails if it was confirmed or withdrawn meanwhile
        other = get(slot);
      }
    }
    return true;
  }

  private static boolean isLeaseOfSameId(long candidate, long ownWord, long now) {
    return ((candidate ^ ownWord) & FINGERPRINT_MASK) == 0 && isLease(candidate, now);
  }

  /** Whether the word is a lease whose time is not over; any other word counts as free. */
  private static boolean isLease(long word, long now) {
    long state = word & STATE_MASK;
    long remaining = ((word >>> TIME_SHIFT) - now) & TIME_MASK;
    return (state == TENTATIVE || state == CONFIRMED)
        && remaining > 0
        && remaining <= MAX_DURATION_UNITS;
  }

  private long currentUnit() {
    return clock.getAsLong() / TIME_UNIT;
  }

  private long endOf(long duration) {
    long limited = Math.min(Math.max(0, duration), MAX_DURATION);
    return ((clock.getAsLong() + limited) / TIME_UNIT + 1) & TIME_MASK;
  }

  /**
   * Extends a lease, unless it lasts as long already or its time is over.
   *
   * @return the word of the lease from now on
   */
  long extend(int slot, long word, long duration) {
    long now = currentUnit();
    long extended = (word & ~(TIME_MASK << TIME_SHIFT)) | (endOf(duration) << TIME_SHIFT);
    boolean isLonger = remainingUnits(extended, now) > remainingUnits(word, now);
    if (memory == null || !isLease(word, now) || !isLonger) {
      return word;
    }
    try {
      return compareAndSet(slot, word, extended) ? extended : word;
    } catch (InternalError e) {
      stopSharing(e);
      return word;
    }
  }

  private static long remainingUnits(long word, long now) {
    return ((word >>> TIME_SHIFT) - now) & TIME_MASK;
  }

  /** Ends the lease of this word, if the slot still holds it. */
  void release(int slot, long word) {
    if (memory == null) {
      return;
    }
    try {
      compareAndSet(slot, word, FREE);
    } catch (InternalError e) {
      stopSharing(e);
    }
  }

  private long get(int slot) {
    return (long) WORDS.getVolatile(memory, offset(slot));
  }

  private boolean compareAndSet(int slot, long expected, long word) {
    return WORDS.compareAndSet(memory, offset(slot), expected, word);
  }

  private static int offset(int slot) {
    return HEADER_BYTES + slot * Long.BYTES;
  }

  /** The JVM reports so that the file behind the memory was cut off or its disk is full. */
  private void stopSharing(InternalError cause) {
    memory = null;
    EventLog.warning("request ids no longer shared", null, cause.toString());
  }

  private void logFull() {
    if (!isFullLogged) {
      isFullLogged = true;
      EventLog.warning("request ids partly shared", null, "the table of ids in use is full");
    }
  }
}
