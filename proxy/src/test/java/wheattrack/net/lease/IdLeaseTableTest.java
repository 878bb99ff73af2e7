package wheattrack.net.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

/**
 * Two processes, as two tables over the same memory. Guards against one id that is handled by both,
 * or that is blocked by a process that has been killed or stopped.
 */
class IdLeaseTableTest {
  private static final long START_MILLIS = 1_800_000_000_000L;
  private static final long DURATION = 1000;
  private static final long DIGEST = 0x1234_5678_9abc_de00L;

  /** Another id in the same bucket. */
  private static final long NEIGHBOUR = DIGEST + (1L << 40);

  private static final int CONTENDED_IDS = 100_000;
  private static final int OTHER_IDS = 12;

  /** The lowest bits of a word of a process that was stopped before it confirmed its lease. */
  private static final long TENTATIVE = 1;

  private volatile boolean isOver;
  private long now = START_MILLIS;
  private final ByteBuffer memory = ByteBuffer.allocateDirect(IdLeaseTable.BYTES);
  private final IdLeaseTable older = new IdLeaseTable(memory, () -> now, 1);
  private final IdLeaseTable newer = new IdLeaseTable(memory, () -> now, 2);

  @Test
  void idIsTakenUntilItIsReleased() {
    IdLease lease = older.acquire(DIGEST, DURATION);
    assertNull(newer.acquire(DIGEST, DURATION));
    assertNotNull(newer.acquire(NEIGHBOUR, DURATION));
    lease.release();
    assertNotNull(newer.acquire(DIGEST, DURATION));
    assertNull(older.acquire(DIGEST, DURATION));
  }

  /** Nothing is known of the older process any more. */
  @Test
  void idIsTakenUntilItsTimeIsOver() {
    older.acquire(DIGEST, DURATION);
    now += DURATION;
    assertNull(newer.acquire(DIGEST, DURATION));
    now += 200;
    assertNotNull(newer.acquire(DIGEST, DURATION));
  }

  @Test
  void extendedLeaseLastsLonger() {
    IdLease lease = older.acquire(DIGEST, DURATION);
    now += DURATION / 2;
    lease.extend(DURATION);
    lease.extend(DURATION / 4); // does not make it shorter
    now += DURATION;
    assertNull(newer.acquire(DIGEST, DURATION));
    lease.release();
    assertNotNull(newer.acquire(DIGEST, DURATION));
  }

  /** A process that was stopped for long does not take back what another one has taken. */
  @Test
  void leaseWhoseTimeIsOverIsNeitherExtendedNorReleased() {
    IdLease lease = older.acquire(DIGEST, DURATION);
    now += 2 * DURATION;
    assertNotNull(newer.acquire(DIGEST, 4 * DURATION));
    lease.extend(DURATION);
    lease.release();
    assertNull(older.acquire(DIGEST, DURATION));
  }

  /** The word that a process writes which is stopped before it has confirmed its lease. */
  private void leaveTentativeWord(int slotInBucket) {
    int slot = (int) (DIGEST & 0xff) * IdLeaseTable.SLOTS_PER_BUCKET + slotInBucket;
    long end = (now + DURATION) / 100 & 0xffff;
    memory
        .order(ByteOrder.nativeOrder())
        .putLong(
            IdLeaseTable.HEADER_BYTES + slot * Long.BYTES,
            DIGEST & -1L << 24 | end << 8 | 1 << 2 | TENTATIVE);
  }

  @Test
  void processStoppedWhileItTakesAnIdBlocksNothingElse() {
    leaveTentativeWord(0);
    assertNull(newer.acquire(DIGEST, DURATION));
    assertNotNull(newer.acquire(NEIGHBOUR, DURATION));
    now += 2 * DURATION;
    assertNotNull(newer.acquire(DIGEST, DURATION));
  }

  /** Another version, or a damaged file: words that are no lease count as free. */
  @Test
  void memoryWithAnyContentIsUsed() {
    Random random = new Random(1);
    byte[] content = new byte[IdLeaseTable.BYTES];
    random.nextBytes(content);
    memory.put(0, content);
    List<Long> shared = new ArrayList<>();
    for (long i = 0; i < 1000; i++) {
      long digest = random.nextLong();
      IdLease lease = older.acquire(digest, DURATION);
      if (lease != null && lease.isShared()) {
        shared.add(digest);
      }
    }
    assertEquals(1000, shared.size(), "leases that the other process sees");
    shared.forEach(digest -> assertNull(newer.acquire(digest, DURATION)));
  }

  /** More leases than places: those beyond are not shared, and are given all the same. */
  @Test
  void fullTableRejectsNoRequest() {
    for (int i = 0; i < IdLeaseTable.SLOTS_PER_BUCKET; i++) {
      assertTrue(older.acquire(DIGEST + ((long) i << 40), DURATION).isShared());
    }
    IdLease lease = older.acquire(DIGEST - (1L << 40), DURATION);
    assertFalse(lease.isShared());
    lease.extend(DURATION);
    lease.release();
  }

  /**
   * Both processes take the same ids at the same moment, in one bucket, while a third one takes and
   * releases other ids there, so that the two find free slots in different places.
   */
  @Test
  void exactlyOneOfTwoProcessesGetsAnId() throws Exception {
    CyclicBarrier barrier = new CyclicBarrier(2);
    ExecutorService threads = Executors.newFixedThreadPool(3);
    Future<?> others = threads.submit(this::takeAndReleaseOtherIds);
    Future<boolean[]> first = threads.submit(() -> takeAll(older, barrier));
    Future<boolean[]> second = threads.submit(() -> takeAll(newer, barrier));
    int firstWins = 0;
    for (int i = 0; i < CONTENDED_IDS; i++) {
      assertTrue(first.get()[i] ^ second.get()[i], "id " + i + ": " + first.get()[i] + " at both");
      firstWins += first.get()[i] ? 1 : 0;
    }
    isOver = true;
    others.get();
    threads.shutdown();
    assertTrue(firstWins > 0 && firstWins < CONTENDED_IDS, firstWins + " won by the first");
  }

  private void takeAndReleaseOtherIds() {
    IdLeaseTable table = new IdLeaseTable(memory, () -> now, 3);
    Random random = new Random(1);
    IdLease[] leases = new IdLease[OTHER_IDS];
    while (!isOver) {
      int i = random.nextInt(OTHER_IDS);
      if (leases[i] == null) {
        leases[i] = table.acquire(DIGEST + ((long) (CONTENDED_IDS + i) << 24), DURATION);
      } else {
        leases[i].release();
        leases[i] = null;
      }
    }
  }

  /** Releases each lease some ids later, so that slots become free while others are taken. */
  private static boolean[] takeAll(IdLeaseTable table, CyclicBarrier barrier) throws Exception {
    boolean[] isTaken = new boolean[CONTENDED_IDS];
    List<IdLease> leases = new ArrayList<>();
    for (int i = 0; i < CONTENDED_IDS; i++) {
      if (i % 8 == 0) {
        barrier.await();
        leases.forEach(IdLease::release);
        leases.clear();
        barrier.await();
      }
      IdLease lease = table.acquire(DIGEST + ((long) i << 24), DURATION);
      isTaken[i] = lease != null;
      if (isTaken[i]) {
        leases.add(lease);
      }
    }
    return isTaken;
  }
}
