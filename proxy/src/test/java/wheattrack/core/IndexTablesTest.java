package wheattrack.core;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import wheattrack.testing.TraceRecorder;

/**
 * {@link SlotTable} and {@link BackendIndex}: which indexes they assign, and when they reuse them.
 */
class IndexTablesTest {
  private static final int BACKENDS = 60;
  private static final int REPLACEMENTS = 500;

  /** The highest index that may be assigned during the replacements. */
  private static final int MAX_INDEX = 122;

  private static final class TestBackend extends BackendIndex.Backend<String> {
    private boolean isBusy;

    TestBackend(String id, int index) {
      super(id, index);
    }

    @Override
    protected boolean hasWorkInFlight() {
      return isBusy;
    }
  }

  @Test
  void reusesReleasedIndexes() throws IOException {
    TraceRecorder recorder = new TraceRecorder();
    recordSlotTable(recorder);
    recordBackendIndex(recorder);
    recorder.assertMatches("tables");
  }

  private static void recordSlotTable(TraceRecorder recorder) {
    SlotTable<String> slots = new SlotTable<>();
    recorder.recordLine("slots " + slots.add("a") + slots.add("b") + slots.add("c"));
    slots.remove(1);
    slots.remove(1);
    slots.remove(7);
    recorder.recordLine(
        slots.size()
            + " left "
            + slots.all()
            + ", 1 is "
            + slots.get(1)
            + ", next "
            + slots.add("d")
            + slots.add("e"));
  }

  private static void recordBackendIndex(TraceRecorder recorder) {
    BackendIndex<String, TestBackend> backends = new BackendIndex<>(TestBackend::new);
    for (String id : List.of("x", "y", "z")) {
      TestBackend backend = backends.getOrAdd(id);
      String novelty = backends.markListed(backend) ? " fresh" : " known";
      recorder.recordLine(id + " at " + backend.index() + novelty);
    }
    recorder.recordLine(
        "x again " + (backends.markListed(backends.getOrAdd("x")) ? "fresh" : "known"));
    backends.find("x").isBusy = true;
    for (TestBackend backend : backends.listedExcept(Set.of("z"))) {
      boolean wasListed = backends.markUnlisted(backend);
      recorder.recordLine(backend.id() + " missing " + wasListed + backends.markUnlisted(backend));
    }
    recorder.recordLine(
        "new ones at " + backends.getOrAdd("v").index() + " and " + backends.getOrAdd("w").index());
    recorder.recordLine(
        "y "
            + backends.find("y")
            + ", x still at "
            + backends.find("x").index()
            + ", none left "
            + backends.markUnlisted(null));
  }

  /**
   * All 60 backends are replaced 500 times while one backend of each of the last two sets is busy:
   * indexes are reused, so that none is over 122.
   */
  @Test
  void reusesIndexesOfReplacedBackends() {
    BackendIndex<String, TestBackend> backends = new BackendIndex<>(TestBackend::new);
    int maxIndex = 0;
    for (int round = 0; round < REPLACEMENTS; round++) {
      Set<String> ids = new HashSet<>();
      for (int i = 0; i < BACKENDS; i++) {
        TestBackend backend = backends.getOrAdd("s" + round + "-" + i);
        backends.markListed(backend);
        backend.isBusy = i == round % BACKENDS;
        ids.add(backend.id());
        maxIndex = Math.max(maxIndex, backend.index());
      }
      backends.listedExcept(ids).forEach(backends::markUnlisted);
      if (round > 1) {
        int oldRound = round - 2;
        backends.find("s" + oldRound + "-" + oldRound % BACKENDS).isBusy = false;
      }
    }
    assertTrue(maxIndex <= MAX_INDEX, "expected no index over " + MAX_INDEX + ", got " + maxIndex);
    assertNull(backends.find("s0-0"), "a replaced backend whose index was reused");
  }
}
