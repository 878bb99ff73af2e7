package wheattrack.simulator;

import java.util.ArrayDeque;
import java.util.Deque;
import wheattrack.api.ProbeCallback;
import wheattrack.core.BackendIndex;

/** One backend of the simulator, with the attempts and load probes that are in flight to it. */
final class ListedBackend extends BackendIndex.Backend<Long> {
  /** The callbacks of load probes in flight, oldest first. */
  private final Deque<ProbeCallback> probes = new ArrayDeque<>();

  ListedBackend(Long id, int index) {
    super(id, index);
  }

  @Override
  protected boolean hasWorkInFlight() {
    return super.hasWorkInFlight() || hasProbeInFlight();
  }

  void addProbe(ProbeCallback callback) {
    probes.addLast(callback);
  }

  boolean hasProbeInFlight() {
    return !probes.isEmpty();
  }

  /** Removes the oldest load probe in flight, which has ended, and returns its callback. */
  ProbeCallback removeOldestProbe() {
    return probes.removeFirst();
  }
}
