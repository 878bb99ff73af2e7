package wheattrack.core;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The memory that all connections of the process may hold for messages together: received bytes,
 * buffered bodies, requests in flight, and bytes that wait to be written.
 *
 * <p>When a step has brought the sum above the limit, the next step makes connections give up their
 * memory until the sum is within the limit, or nothing is left to give up. The first to do so is
 * the one with the greatest product of bytes held and time since its peer should have gone on: many
 * bytes that are held for long are those of peers that stall. Times are tenths of a millisecond.
 * Runs on the event loop's thread only.
 */
public final class MemoryBudget {
  /** Accounts with fewer bytes are not considered, as giving them up would free too little. */
  public static final long MIN_RECLAIMED_BYTES = 4 * 1024;

  /** Notified of each release that the budget has requested. */
  @FunctionalInterface
  public interface ReclaimListener {
    /**
     * A connection is about to give up its memory.
     *
     * @param bytes the number of bytes it holds
     * @param duration for how long
     */
    void onReclaim(MemoryUse use, long bytes, long duration);
  }

  private final LongSupplier clock;
  private final Consumer<Runnable> nextStep;
  private final ReclaimListener listener;
  private final Set<MemoryAccount> largeAccounts = new LinkedHashSet<>();
  private final Map<MemoryUse, Long> reclaims = new EnumMap<>(MemoryUse.class);
  private long limit;
  private long usedBytes;
  private long rejectedRequests;
  private boolean isReclaimScheduled;

  /**
   * Creates a budget of which nothing is used.
   *
   * @param limit the limit in bytes
   * @param clock the time
   * @param nextStep runs a task as a step of its own, after the current step and before any other
   */
  public MemoryBudget(
      long limit, LongSupplier clock, Consumer<Runnable> nextStep, ReclaimListener listener) {
    this.limit = limit;
    this.clock = clock;
    this.nextStep = nextStep;
    this.listener = listener;
  }

  /** Creates a budget without a limit. */
  public static MemoryBudget unlimited() {
    return new MemoryBudget(Long.MAX_VALUE, () -> 0, Runnable::run, (use, bytes, duration) -> {});
  }

  /** Sets the limit from now on, in bytes. */
  public void setLimit(long bytes) {
    limit = bytes;
    reclaimIfExceeded();
  }

  /** The limit, in bytes. */
  public long limit() {
    return limit;
  }

  /** The bytes that all connections hold together. */
  public long usedBytes() {
    return usedBytes;
  }

  /**
   * Whether the limit is exceeded. A step that finds it exceeded, other than the one that has
   * exceeded it, knows that nothing is left to give up.
   */
  public boolean isExceeded() {
    return usedBytes > limit;
  }

  /** Counts a request that was rejected because the limit is exceeded. */
  public void countRejectedRequest() {
    rejectedRequests++;
  }

  /** The number of requests rejected because the limit was exceeded. */
  public long rejectedRequests() {
    return rejectedRequests;
  }

  /** How often memory in this use was given up. */
  public long reclaims(MemoryUse use) {
    return reclaims.getOrDefault(use, 0L);
  }

  /** The bytes that an account holds have changed. */
  void onChanged(MemoryAccount account, long previousBytes) {
    usedBytes += account.heldBytes() - previousBytes;
    if (account.heldBytes() < MIN_RECLAIMED_BYTES) {
      largeAccounts.remove(account);
    } else if (previousBytes < MIN_RECLAIMED_BYTES) {
      largeAccounts.add(account);
    }
    reclaimIfExceeded();
  }

  private void reclaimIfExceeded() {
    if (isExceeded() && !isReclaimScheduled) {
      isReclaimScheduled = true;
      nextStep.accept(this::reclaim);
    }
  }

  private void reclaim() {
    try {
      for (MemoryAccount account : mostStalledFirst()) {
        if (isExceeded() && isReclaimable(account)) { // others may have changed it by now
          release(account);
        }
      }
    } finally {
      isReclaimScheduled = false;
    }
  }

  private List<MemoryAccount> mostStalledFirst() {
    return largeAccounts.stream()
        .filter(MemoryBudget::isReclaimable)
        .sorted(Comparator.comparingDouble(this::cost).reversed())
        .toList();
  }

  private static boolean isReclaimable(MemoryAccount account) {
    return account.heldBytes() >= MIN_RECLAIMED_BYTES
        && account.owner().memoryUse() != MemoryUse.NEEDED;
  }

  /** The bytes held times the time for which they were stalled. */
  private double cost(MemoryAccount account) {
    MemoryUse use = account.owner().memoryUse();
    long stalled = clock.getAsLong() - account.owner().memoryUsedSince() - use.allowance();
    return (double) account.heldBytes() * Math.max(1, stalled);
  }

  private void release(MemoryAccount account) {
    MemoryUse use = account.owner().memoryUse();
    reclaims.merge(use, 1L, Long::sum);
    long duration = clock.getAsLong() - account.owner().memoryUsedSince();
    listener.onReclaim(use, account.heldBytes(), duration);
    account.owner().releaseMemory(use);
  }
}
