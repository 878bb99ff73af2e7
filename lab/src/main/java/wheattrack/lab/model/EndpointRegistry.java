package wheattrack.lab.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheattrack.core.BackendIndex;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.referee.LedgerRecord.State;

/**
 * The discovery service's endpoint list: its events reach proxies after a delay, and it may be
 * down, stale or empty. Subclasses deliver the events, on the virtual clock or on sockets. Times
 * are tenths of a millisecond from the start of the run. Runs on the run's thread only.
 */
public abstract class EndpointRegistry {
  /**
   * One entry of the list, or a change of one.
   *
   * @param startedAt when the backend started, or {@link #LONG_AGO}
   */
  public record EndpointEvent(int backend, State state, long startedAt) {}

  /** The start time of a backend that has been running since long before the run. */
  public static final long LONG_AGO = BackendIndex.LONG_AGO;

  private final RunEnvironment environment;
  private final RandomStream random;
  private final Map<Integer, EndpointEvent> endpoints = new LinkedHashMap<>();
  private List<EndpointEvent> staleEndpoints = List.of();
  private boolean isDown;
  private boolean isStale;
  private boolean isEmpty;

  /** Creates a list of all backends of the run, each ready and {@link #LONG_AGO} started. */
  protected EndpointRegistry(RunEnvironment environment) {
    this.environment = environment;
    random = environment.randomStream("list");
    for (SimulatedBackend backend : environment.backends()) {
      int index = backend.index();
      endpoints.put(index, new EndpointEvent(index, State.READY, LONG_AGO));
    }
  }

  /** The complete list that a proxy would receive now. */
  protected final List<EndpointEvent> snapshot() {
    if (isEmpty) {
      return List.of();
    }
    return isStale ? staleEndpoints : new ArrayList<>(endpoints.values());
  }

  /** Draws the delay of one event on its way to a proxy. */
  protected final long drawDeliveryDelay() {
    return Math.round(environment.scenario().discovery().delay() * random.nextJitterFactor());
  }

  /** Whether the list is down, so that nothing is sent. */
  protected final boolean isDown() {
    return isDown;
  }

  /** Sends one change to all proxies that watch the list. */
  protected abstract void publishChange(EndpointEvent event);

  /** Sends the complete list to all proxies that watch it. */
  protected abstract void publishSnapshot();

  /** Called when the list goes down, which interrupts all watches. */
  protected abstract void interruptWatches();

  /** Updates the state of a backend and publishes the change, unless a fault prevents that. */
  public void update(int backend, State state, long startedAt) {
    EndpointEvent event = new EndpointEvent(backend, state, startedAt);
    if (state == State.GONE) {
      endpoints.remove(backend);
    } else {
      endpoints.put(backend, event);
    }
    if (!isDown && !isStale && !isEmpty) {
      publishChange(event);
    }
  }

  /**
   * Takes the list down or up again. While it is down nothing is sent; proxies that watch it again
   * afterwards receive a snapshot.
   */
  public final void setDown(boolean isDown) {
    this.isDown = isDown;
    if (isDown) {
      interruptWatches();
    }
  }

  /**
   * Makes the list stale or current again. A stale list sends the entries that it had when it
   * became stale.
   */
  public final void setStale(boolean isStale) {
    this.isStale = isStale;
    staleEndpoints = new ArrayList<>(endpoints.values());
    if (!isStale && !isDown) {
      publishSnapshot();
    }
  }

  /** Makes the list send no entries, or all of them again. */
  public final void setEmpty(boolean isEmpty) {
    this.isEmpty = isEmpty;
    if (!isDown) {
      publishSnapshot();
    }
  }

  /**
   * Schedules the removal of a backend whose process is about to die, after the scenario's
   * detection time, unless the backend is up again by then. Must be called before the death, which
   * increments the backend's incarnation.
   */
  public void scheduleFailureDetection(SimulatedBackend backend) {
    int incarnation = backend.incarnation() + 1;
    environment.schedule(
        environment.scenario().discovery().failureDetectionDelay(),
        () -> {
          boolean isSameIncarnation = backend.incarnation() == incarnation;
          if (isSameIncarnation && backend.state() != SimulatedBackend.State.UP) {
            update(backend.index(), State.GONE, 0);
          }
        });
  }
}
