package wheattrack.core;

/**
 * The bytes that one connection holds for messages, as a part of its process's {@link
 * MemoryBudget}. Runs on the event loop's thread only.
 */
public final class MemoryAccount {
  /** The connection that holds the memory. */
  public interface Owner {
    /** What the memory is used for now. */
    MemoryUse memoryUse();

    /** Since when this use lasts, or since its last progress; tenths of a millisecond. */
    long memoryUsedSince();

    /**
     * Gives the memory up, in a step of its own. Does nothing if that is no longer possible.
     *
     * @param use what {@link #memoryUse} has returned
     */
    void releaseMemory(MemoryUse use);
  }

  private final MemoryBudget budget;
  private final Owner owner;
  private long heldBytes;

  /** Creates an account that holds nothing. */
  public MemoryAccount(MemoryBudget budget, Owner owner) {
    this.budget = budget;
    this.owner = owner;
  }

  /** The connection that holds the memory. */
  Owner owner() {
    return owner;
  }

  /** The bytes held now. */
  long heldBytes() {
    return heldBytes;
  }

  /** Sets the number of bytes held; 0 when the connection is closed. */
  public void setHeldBytes(long bytes) {
    long previous = heldBytes;
    if (bytes != previous) {
      heldBytes = bytes;
      budget.onChanged(this, previous);
    }
  }
}
