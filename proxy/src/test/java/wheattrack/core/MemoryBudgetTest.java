package wheattrack.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which connections give up their memory when messages use more than the limit. */
class MemoryBudgetTest {
  private static final long LIMIT = 100_000;

  private final ArrayDeque<Runnable> nextSteps = new ArrayDeque<>();
  private final List<String> released = new ArrayList<>();
  private long now = 100_000;
  private final MemoryBudget budget =
      new MemoryBudget(
          LIMIT,
          () -> now,
          nextSteps::add,
          (use, bytes, duration) -> released.add(use + " " + bytes + " " + duration));

  private final class Connection implements MemoryAccount.Owner {
    final MemoryAccount account = new MemoryAccount(budget, this);
    private final MemoryUse use;
    private final long since = now;

    Connection(MemoryUse use, long bytes) {
      this.use = use;
      account.setHeldBytes(bytes);
    }

    @Override
    public MemoryUse memoryUse() {
      return use;
    }

    @Override
    public long memoryUsedSince() {
      return since;
    }

    @Override
    public void releaseMemory(MemoryUse use) {
      account.setHeldBytes(0);
    }
  }

  private void runNextSteps() {
    while (!nextSteps.isEmpty()) {
      nextSteps.remove().run();
    }
  }

  // Guards against memory that is held by stalled peers without a limit on the sum.
  @Test
  void manyBytesHeldForLongAreGivenUpFirst() {
    new Connection(MemoryUse.INCOMPLETE_REQUEST, 10_000); // 10 kB for 3 s
    now += 10_000;
    new Connection(MemoryUse.INCOMPLETE_REQUEST, 60_000); // 60 kB for 2 s
    now += 20_000;
    new Connection(MemoryUse.INCOMPLETE_REQUEST, 60_000); // has only begun
    assertTrue(budget.isExceeded());
    runNextSteps();
    assertEquals(List.of("INCOMPLETE_REQUEST 60000 20000"), released);
    assertEquals(70_000, budget.usedBytes());
    assertEquals(1, budget.reclaims(MemoryUse.INCOMPLETE_REQUEST));
  }

  @Test
  void pausesOfSlowPeersCountOnlyBeyondTheirAllowance() {
    new Connection(MemoryUse.UNREAD_RESPONSE, 80_000); // unread for 2 s
    now += 10_000;
    new Connection(MemoryUse.INCOMPLETE_REQUEST, 10_000); // incomplete for 1 s
    now += 10_000;
    new Connection(MemoryUse.INCOMPLETE_RESPONSE, 15_000);
    runNextSteps();
    assertEquals(List.of("INCOMPLETE_REQUEST 10000 10000"), released);
  }

  @Test
  void neededMemoryAndSmallAmountsAreKept() {
    new Connection(MemoryUse.NEEDED, 99_000);
    Connection small =
        new Connection(MemoryUse.INCOMPLETE_REQUEST, MemoryBudget.MIN_RECLAIMED_BYTES - 1);
    runNextSteps();
    assertTrue(budget.isExceeded());
    assertEquals(List.of(), released);
    small.account.setHeldBytes(0);
    assertFalse(budget.isExceeded());
  }

  @Test
  void aLowerLimitIsKeptAtOnce() {
    new Connection(MemoryUse.READ_AHEAD, 30_000);
    Connection larger = new Connection(MemoryUse.CLOSING, 50_000);
    budget.setLimit(40_000);
    runNextSteps();
    assertEquals(30_000, budget.usedBytes());
    assertEquals(0, larger.account.heldBytes());
  }
}
