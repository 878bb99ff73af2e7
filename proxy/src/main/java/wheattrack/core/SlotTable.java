package wheattrack.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A table of entries in numbered slots; a new entry takes the slot that was released last. Not
 * thread-safe.
 *
 * @param <T> the type of an entry
 */
public final class SlotTable<T> {
  private static final int INITIAL_FREE_SLOTS = 64;

  private final List<T> entries = new ArrayList<>();
  private int[] freeSlots = new int[INITIAL_FREE_SLOTS]; // a stack of freeSlotCount slots
  private int freeSlotCount;
  private int size;

  /** Adds an entry, which must not be null, and returns its slot. */
  public int add(T entry) {
    size++;
    if (freeSlotCount > 0) {
      int slot = freeSlots[--freeSlotCount];
      entries.set(slot, entry);
      return slot;
    }
    entries.add(entry);
    return entries.size() - 1;
  }

  /** The entry in the slot, or null if it is free or was never used. */
  public T get(int slot) {
    return slot >= 0 && slot < entries.size() ? entries.get(slot) : null;
  }

  /** Releases a slot; does nothing if it is free or was never used. */
  public void remove(int slot) {
    if (get(slot) == null) {
      return;
    }
    entries.set(slot, null);
    size--;
    if (freeSlotCount == freeSlots.length) {
      freeSlots = Arrays.copyOf(freeSlots, 2 * freeSlotCount);
    }
    freeSlots[freeSlotCount++] = slot;
  }

  /** The number of entries. */
  public int size() {
    return size;
  }

  /** A copy of the current entries, ordered by slot. */
  public List<T> all() {
    List<T> all = new ArrayList<>(size);
    for (T entry : entries) {
      if (entry != null) {
        all.add(entry);
      }
    }
    return all;
  }
}
