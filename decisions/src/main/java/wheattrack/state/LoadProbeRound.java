package wheattrack.state;

import java.util.List;
import wheattrack.api.PolicyRuntime;

/**
 * The load probes of one request; the request continues when all are answered or the timeout has
 * expired. Not thread-safe.
 */
public final class LoadProbeRound {
  private final Runnable whenDone;
  private int outstanding;

  private LoadProbeRound(int probes, Runnable whenDone) {
    outstanding = probes;
    this.whenDone = whenDone;
  }

  /**
   * Probes backends.
   *
   * @param timeout longest time to wait for their answers, in ticks
   * @param whenDone run once; within this call if there are no backends
   */
  public static void start(
      PolicyRuntime runtime, List<BackendState> backends, long timeout, Runnable whenDone) {
    if (backends.isEmpty()) {
      whenDone.run();
      return;
    }
    LoadProbeRound round = new LoadProbeRound(backends.size(), whenDone);
    for (BackendState backend : backends) {
      runtime.probeLoad(backend.index(), (answered, latency) -> round.end(1));
    }
    runtime.schedule(timeout, () -> round.end(round.outstanding));
  }

  /** Ends this many of the outstanding probes. */
  private void end(int probes) {
    outstanding -= probes;
    if (probes > 0 && outstanding == 0) {
      whenDone.run();
    }
  }
}
