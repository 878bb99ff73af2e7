package wheattrack.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A table of numbered slots; a number that is given back is the next to be given out. */
public final class SlotTable<T> {
  private final List<T> table = new ArrayList<>();
  private int[] free = new int[64];
  private int frees;
  private int size;

  public int add(T thing) {
    size++;
    if (frees > 0) {
      int slot = free[--frees];
      table.set(slot, thing);
      return slot;
    }
    table.add(thing);
    return table.size() - 1;
  }

  /** What stands in the slot, or null. */
  public T get(int slot) {
    return slot >= 0 && slot < table.size() ? table.get(slot) : null;
  }

  public void remove(int slot) {
    if (get(slot) == null) {
      return;
    }
    table.set(slot, null);
    size--;
    if (frees == free.length) {
      free = Arrays.copyOf(free, 2 * frees);
    }
    free[frees++] = slot;
  }

  public int size() {
    return size;
  }

  /** What stands in the table now, by slot. */
  public List<T> all() {
    List<T> all = new ArrayList<>(size);
    for (T thing : table) {
      if (thing != null) {
        all.add(thing);
      }
    }
    return all;
  }
}
