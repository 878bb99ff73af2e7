package wheattrack.state;

import java.util.List;
import wheattrack.api.PolicyRuntime;

/** Load probes of one request; the request goes on when all are answered, or after a moment. */
public final class LoadProbeRound {
  private final Runnable whenDone;
  private int outstanding;

  private LoadProbeRound(int probes, Runnable whenDone) {
    outstanding = probes;
    this.whenDone = whenDone;
  }

  /**
   * Probes some backends.
   *
   * @param longest how long their answers are waited for, in ticks
   * @param whenDone runs once; at once if there are no backends
   */
  public static void start(
      PolicyRuntime runtime, List<BackendState> backends, long longest, Runnable whenDone) {
    if (backends.isEmpty()) {
      whenDone.run();
      return;
    }
    LoadProbeRound round = new LoadProbeRound(backends.size(), whenDone);
    for (BackendState backend : backends) {
      runtime.probeLoad(backend.index(), (answered, latency) -> round.end(1));
    }
    runtime.schedule(longest, () -> round.end(round.outstanding));
  }

  private void end(int probes) {
    outstanding -= probes;
    if (probes > 0 && outstanding == 0) {
      whenDone.run();
    }
  }
}
