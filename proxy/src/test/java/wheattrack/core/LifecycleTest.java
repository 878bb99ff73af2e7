package wheattrack.core;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.core.Lifecycle.Phase;
import wheattrack.testing.TraceRecorder;

/** The order in which the process can enter its phases. */
class LifecycleTest {
  @Test
  void phasesOnlyGoForward() throws IOException {
    TraceRecorder recorder = new TraceRecorder();
    Lifecycle lifecycle = new Lifecycle(phase -> recorder.recordLine("enters " + phase));
    for (Phase phase :
        List.of(
            Phase.WARMING,
            Phase.SERVING,
            Phase.WARMING,
            Phase.DRAINING,
            Phase.SERVING,
            Phase.CLOSING,
            Phase.ENDED)) {
      recorder.recordLine(
          phase
              + " "
              + lifecycle.advanceTo(phase)
              + (lifecycle.isReady() ? " ready" : "")
              + (lifecycle.isShuttingDown() ? " leaving" : ""));
    }
    recorder.assertMatches("phases");
  }
}
