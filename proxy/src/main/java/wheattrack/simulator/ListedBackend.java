package wheattrack.simulator;

import java.util.ArrayList;
import java.util.List;
import wheattrack.api.ProbeCallback;
import wheattrack.core.BackendIndex;

/** One backend of the simulator, with the attempts and load probes that are in flight to it. */
final class ListedBackend extends BackendIndex.Backend<Long> {
  private final List<ProbeCallback> probes = new ArrayList<>();
  private int attemptsInFlight;

  ListedBackend(Long id, int index) {
    super(id, index);
  }

  @Override
  protected boolean hasWorkInFlight() {
    return attemptsInFlight > 0 || hasProbeInFlight();
  }

  void attemptStarted() {
    attemptsInFlight++;
  }

  void attemptEnded() {
    attemptsInFlight--;
  }

  void addProbe(ProbeCallback callback) {
    probes.add(callback);
  }

  boolean hasProbeInFlight() {
    return !probes.isEmpty();
  }

  /** Removes the oldest load probe, as it has ended, and returns its callback. */
  ProbeCallback removeOldestProbe() {
    return probes.remove(0);
  }
}
