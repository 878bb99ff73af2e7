package wheattrack.lab.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheattrack.core.BackendIndex;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.referee.LedgerRecord.State;

/**
 * The endpoint list, on either clock: its events reach proxies late, and it may be down, stale or
 * empty. How events are delivered is left to the clock's own subclass. Runs on the run's thread
 * only.
 */
public abstract class EndpointRegistry {
  /** One entry of the list, or a change of it. */
  public record EndpointEvent(int backend, State state, long startedAt) {}

  /** The start time of a backend of which the list says only that it started long ago. */
  public static final long LONG_AGO = BackendIndex.LONG_AGO;

  private final RunEnvironment environment;
  private final RandomStream random;
  private final Map<Integer, EndpointEvent> endpoints = new LinkedHashMap<>();
  private List<EndpointEvent> staleEndpoints = List.of();
  private boolean down;
  private boolean stale;
  private boolean empty;

  /** Creates a list of all backends of the run, as ready and started long ago. */
  protected EndpointRegistry(RunEnvironment environment) {
    this.environment = environment;
    random = environment.randomStream("list");
    for (SimulatedBackend backend : environment.backends()) {
      int index = backend.index();
      endpoints.put(index, new EndpointEvent(index, State.READY, LONG_AGO));
    }
  }

  /** The complete list as it would be sent now. */
  protected final List<EndpointEvent> snapshot() {
    if (empty) {
      return List.of();
    }
    return stale ? staleEndpoints : new ArrayList<>(endpoints.values());
  }

  /** Draws the time that an event takes to reach a proxy. */
  protected final long drawDeliveryDelay() {
    return Math.round(environment.scenario().discovery().delay() * random.nextJitterFactor());
  }

  /** Whether nothing is sent at present. */
  protected final boolean isDown() {
    return down;
  }

  /** Sends one change to all proxies that watch the list. */
  protected abstract void publishChange(EndpointEvent event);

  /** Sends the complete list to all proxies that watch it. */
  protected abstract void publishSnapshot();

  /** The list goes down: all watches are lost. */
  protected abstract void interruptWatches();

  /** The list learns of a backend's new state. */
  public void update(int backend, State state, long startedAt) {
    EndpointEvent event = new EndpointEvent(backend, state, startedAt);
    if (state == State.GONE) {
      endpoints.remove(backend);
    } else {
      endpoints.put(backend, event);
    }
    if (!down && !stale && !empty) {
      publishChange(event);
    }
  }

  /**
   * Takes the list down or up again. While it is down nothing is sent; proxies that watch it again
   * afterwards receive a snapshot.
   */
  public final void setDown(boolean isDown) {
    down = isDown;
    if (isDown) {
      interruptWatches();
    }
  }

  /** Freezes the list: while it is stale it sends what it knew when that began. */
  public final void setStale(boolean isStale) {
    stale = isStale;
    staleEndpoints = new ArrayList<>(endpoints.values());
    if (!isStale && !down) {
      publishSnapshot();
    }
  }

  /** Makes the list send no entries at all, or all of them again. */
  public final void setEmpty(boolean isEmpty) {
    empty = isEmpty;
    if (!down) {
      publishSnapshot();
    }
  }

  /**
   * To be called right before a backend's process dies: the list notices that after a while, unless
   * the backend is up again by then.
   */
  public void scheduleDeathNotice(SimulatedBackend backend) {
    int incarnation = backend.incarnation() + 1;
    environment.schedule(
        environment.scenario().discovery().deathNotice(),
        () -> {
          boolean isSame = backend.incarnation() == incarnation;
          if (isSame && backend.state() != SimulatedBackend.State.UP) {
            update(backend.index(), State.GONE, 0);
          }
        });
  }
}
