package wheattrack.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import wheattrack.aio.EventLoop;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.RequestHandle;
import wheattrack.core.MemoryBudget;
import wheattrack.net.backend.Connector;
import wheattrack.net.discovery.EndpointListParser.Deleted;
import wheattrack.net.discovery.EndpointListParser.Entry;
import wheattrack.net.discovery.EndpointListParser.Listed;
import wheattrack.net.discovery.EndpointListParser.State;

/**
 * Lists of several sources in any order: which backends the policy may use, and since when they
 * serve. Guards against requests to a draining backend, and against a cold one that counts as warm,
 * after an older list.
 */
class BackendPoolTableTest {
  private static final long START = 1_000_000_000;
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
  private static final int RANDOM_HISTORIES = 3000;
  private static final int REVISIONS = 14;
  private static final int CHANGING_BACKENDS = 4;

  /** A backend that always serves, so that no list leaves the policy without any. */
  private static final String STABLE = "s-f";

  /** Records which backends may get requests, and their start times. */
  private static final class RecordingLoadBalancer implements LoadBalancer {
    private final Map<Integer, EndpointUpdate> backends = new TreeMap<>();

    @Override
    public void updateBackend(EndpointUpdate update) {
      backends.put(update.index(), update);
    }

    @Override
    public void removeBackend(int backend) {
      backends.remove(backend);
    }

    @Override
    public void endpointListUpdated(boolean cached) {}

    @Override
    public void endpointListFailed(boolean answered) {}

    @Override
    public RequestHandle accept(PendingRequest request) {
      throw new UnsupportedOperationException();
    }

    Set<String> ready() {
      Set<String> ids = new TreeSet<>();
      for (EndpointUpdate update : backends.values()) {
        if (update.ready()) {
          ids.add("s-" + Long.toHexString(update.id()));
        }
      }
      return ids;
    }

    EndpointUpdate backend(String id) {
      return backends.values().stream()
          .filter(update -> ("s-" + Long.toHexString(update.id())).equals(id))
          .findFirst()
          .orElseThrow();
    }
  }

  private static final EventLoop LOOP = new EventLoop();
  private static final Connector CONNECTOR =
      new Connector(LOOP, LOOP.channelGroup(), 1, 1, MemoryBudget.unlimited(), 1, 0);

  private final BackendHistory history = new BackendHistory();
  private final RecordingLoadBalancer policy = new RecordingLoadBalancer();
  private final BackendPoolTable table;
  private long now = START;

  BackendPoolTableTest() {
    table = new BackendPoolTable(() -> now, CONNECTOR, history);
    table.setLoadBalancer(policy);
  }

  @AfterAll
  static void stopLoop() {
    LOOP.shutdown();
  }

  private static Listed entry(String id, State state, long startedAt) {
    return new Listed(id, state, "", ADDRESS, startedAt, 0, 0, 0, 1);
  }

  private void change(long revision, Entry... entries) {
    table.beginUpdate();
    for (Entry entry : entries) {
      table.apply(entry, revision);
    }
    table.releaseUnknownIfNoneServes();
    history.onEventApplied(revision, now);
  }

  private void snapshot(long revision, Entry... entries) {
    table.removeAllExcept(ids(entries), revision, false);
    change(revision, entries);
  }

  private void snapshotOfNewScope(long revision, Entry... entries) {
    history.onScopeChanged();
    table.removeAllExcept(ids(entries), revision, true);
    change(revision, entries);
  }

  private static Set<String> ids(Entry... entries) {
    Set<String> ids = new HashSet<>();
    for (Entry entry : entries) {
      ids.add(entry.id());
    }
    return ids;
  }

  private static Listed serving(String id) {
    return entry(id, State.SERVING, 0);
  }

  private static Listed draining(String id) {
    return entry(id, State.DRAINING, 0);
  }

  private void assertReady(String... ids) {
    assertEquals(new TreeSet<>(List.of(ids)), policy.ready());
  }

  /** The case of the review: discovery moves to a source that learns of the drain later. */
  @Test
  void olderListOfAnotherSourceReinstatesNoDrainingBackend() {
    snapshot(4, serving("s-0"), serving("s-1"));
    change(5, draining("s-0"));
    history.onSourceChanged();
    snapshot(4, serving("s-0"), serving("s-1"));
    assertReady("s-1");
    change(5, draining("s-0"));
    change(6, serving("s-0"));
    assertReady("s-0", "s-1");
  }

  @Test
  void removedBackendWhoseIndexIsReusedStaysRemoved() {
    snapshot(4, serving("s-0"), serving("s-1"));
    change(5, new Deleted("s-0"));
    change(6, serving("s-2"));
    history.onSourceChanged();
    snapshot(4, serving("s-0"), serving("s-1"));
    assertReady("s-1");
  }

  @Test
  void olderListThatComesTwiceReinstatesNoDrainingBackend() {
    snapshot(4, serving("s-0"), serving("s-1"));
    change(5, draining("s-0"));
    snapshot(4, serving("s-0"), serving("s-1"));
    snapshot(4, serving("s-0"), serving("s-1"));
    assertReady("s-1");
  }

  /** The backend had left the list before this process first saw one. */
  @Test
  void backendOnAnOlderListOnlyIsNotUsed() {
    snapshot(9, serving("s-1"));
    history.onSourceChanged();
    snapshot(7, serving("s-0"), serving("s-1"));
    assertReady("s-1");
  }

  @Test
  void newIncarnationIsUsedAtOnceWhateverTheRevision() {
    snapshot(4, serving("s-0"), serving("s-1"));
    change(5, draining("s-0"));
    history.onSourceChanged();
    snapshot(2, entry("s-0", State.SERVING, now + 1), serving("s-1"));
    assertReady("s-0", "s-1");
  }

  /** Guards against a cold backend that gets the requests of a warm one. */
  @Test
  void olderListDoesNotSetAnOlderStartTime() {
    snapshot(4, entry("s-0", State.SERVING, START - 9000), serving("s-1"));
    change(6, entry("s-0", State.SERVING, START - 10));
    history.onSourceChanged();
    snapshot(4, entry("s-0", State.SERVING, START - 9000), serving("s-1"));
    assertReady("s-0", "s-1");
    assertEquals(START - 10, policy.backend("s-0").startedAt());
  }

  /** An older list does not replace the zone of a restarted backend, a newer event does. */
  @Test
  void zoneOfAServingBackendIsThatOfTheNewestEvent() {
    snapshot(4, listedInZone(0, START - 9000), serving("s-1"));
    change(6, listedInZone(1, START - 10));
    history.onSourceChanged();
    snapshot(4, listedInZone(0, START - 9000), serving("s-1"));
    assertEquals(1, policy.backend("s-0").zone());
    change(7, listedInZone(2, 0)); // without a start time
    assertEquals(2, policy.backend("s-0").zone());
    assertEquals(START - 10, policy.backend("s-0").startedAt());
  }

  private static Listed listedInZone(int zone, long startedAt) {
    return new Listed("s-0", State.SERVING, "", ADDRESS, startedAt, zone, 0, 0, 1);
  }

  /** Revisions of two sources may be unrelated, so a greater one proves nothing at first. */
  @Test
  void greaterRevisionOfAnotherSourceIsBelievedAfterTheNotificationLimit() {
    snapshot(4, serving("s-0"), serving("s-1"));
    change(5, draining("s-0"));
    history.onSourceChanged();
    snapshot(400, serving("s-0"), serving("s-1"));
    assertReady("s-1");
    now += WatchConnection.NOTIFICATION_LIMIT;
    assertTrue(table.releaseDue());
    assertReady("s-0", "s-1");
  }

  /** Revisions that have begun anew: the source is believed in the end. */
  @Test
  void backendThatAnOlderListNamesForLongIsUsedAgain() {
    snapshot(400, serving("s-0"), serving("s-1"));
    change(401, draining("s-0"));
    history.onSourceChanged();
    snapshot(4, serving("s-0"), serving("s-1"), serving("s-2"));
    now = table.nextRelease() - 1;
    assertFalse(table.releaseDue());
    assertReady("s-1");
    now++;
    assertTrue(table.releaseDue());
    assertReady("s-0", "s-1", "s-2");
  }

  @Test
  void silentSourceDoesNotReinstate() {
    snapshot(4, serving("s-0"), serving("s-1"));
    change(5, draining("s-0"));
    history.onSourceChanged();
    snapshot(4, serving("s-0"), serving("s-1"));
    now = table.nextRelease() - 1;
    table.extendHolds();
    now++;
    assertFalse(table.releaseDue());
    assertReady("s-1");
  }

  @Test
  void listOfUnknownBackendsOnlyIsUsedAtOnce() {
    snapshot(400, serving("s-0"));
    history.onSourceChanged();
    snapshot(4, serving("s-1"), serving("s-2"));
    assertReady("s-1", "s-2");
  }

  @Test
  void backendOutsideOfAScopeIsUsedAgainInTheNextOne() {
    snapshot(4, serving("s-0"), serving("s-1"), draining("s-3"));
    snapshotOfNewScope(4, serving("s-1"), serving("s-2"));
    assertReady("s-1", "s-2");
    snapshotOfNewScope(4, serving("s-0"), serving("s-1"), serving("s-3"));
    assertReady("s-0", "s-1");
  }

  /** The list as it develops at discovery: by revision, the entries of all backends. */
  private static final class ListHistory {
    private final List<Map<String, Listed>> byRevision = new ArrayList<>();

    ListHistory(Random random) {
      Map<String, Listed> list = new TreeMap<>();
      list.put(STABLE, serving(STABLE));
      byRevision.add(Map.copyOf(list));
      for (int revision = 1; revision <= REVISIONS; revision++) {
        String id = "s-" + random.nextInt(CHANGING_BACKENDS);
        Listed before = list.get(id);
        boolean startsAnew = before == null || random.nextInt(4) == 0;
        if (startsAnew) {
          list.put(id, entry(id, State.SERVING, START - 1000 + revision));
        } else if (before.state() == State.DRAINING && random.nextBoolean()) {
          list.remove(id);
        } else {
          State state = before.state() == State.SERVING ? State.DRAINING : State.SERVING;
          list.put(id, entry(id, state, before.startedAt()));
        }
        byRevision.add(Map.copyOf(list));
      }
    }

    Entry[] list(int revision, boolean withDraining) {
      return byRevision.get(revision).values().stream()
          .filter(entry -> withDraining || entry.state() == State.SERVING)
          .toArray(Entry[]::new);
    }

    /** The entries that have changed between two revisions. */
    Entry[] changes(int after, int revision) {
      List<Entry> entries = new ArrayList<>();
      Map<String, Listed> before = byRevision.get(after);
      Map<String, Listed> current = byRevision.get(revision);
      current.values().stream()
          .filter(entry -> !entry.equals(before.get(entry.id())))
          .forEach(entries::add);
      before.keySet().stream()
          .filter(id -> !current.containsKey(id))
          .forEach(id -> entries.add(new Deleted(id)));
      return entries.toArray(Entry[]::new);
    }

    Set<String> servingIds(int revision) {
      Set<String> ids = new TreeSet<>();
      for (Entry entry : list(revision, false)) {
        ids.add(entry.id());
      }
      return ids;
    }
  }

  /**
   * Sources of one list that are behind each other, send it whole, in changes, without draining
   * backends, again, or older than before: no backend gets requests that does not serve at the
   * newest revision that any of them has told; once a source is up to date, all that serve do.
   */
  @Test
  void onlyBackendsThatServeAtTheNewestToldRevisionAreReady() {
    for (int seed = 0; seed < RANDOM_HISTORIES; seed++) {
      new BackendPoolTableTest().playRandomLists(seed);
    }
  }

  private void playRandomLists(int seed) {
    Random random = new Random(seed);
    ListHistory lists = new ListHistory(random);
    int newest = 0;
    int current = random.nextInt(REVISIONS);
    boolean isListNeeded = true;
    for (int step = 0; step < 12; step++) {
      if (!isListNeeded && random.nextInt(4) == 0) {
        history.onSourceChanged();
        isListNeeded = true;
      }
      int choice = isListNeeded ? 0 : random.nextInt(4);
      int revision = choice == 0 ? random.nextInt(REVISIONS) : Math.min(current + 1, REVISIONS);
      if (choice <= 1) {
        snapshot(revision, lists.list(revision, random.nextBoolean()));
      } else {
        change(revision, lists.changes(current, revision));
      }
      current = revision;
      isListNeeded = false;
      newest = Math.max(newest, current);
      Set<String> notServing = new TreeSet<>(policy.ready());
      notServing.removeAll(lists.servingIds(newest));
      assertEquals(Set.of(), notServing, "seed " + seed + ", step " + step);
    }
    change(REVISIONS, lists.changes(current, REVISIONS));
    now += BackendHistory.OLDER_LIST_HOLD;
    table.releaseDue();
    assertEquals(lists.servingIds(REVISIONS), policy.ready(), "seed " + seed);
  }
}
