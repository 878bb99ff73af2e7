package wheattrack.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.policy.RecordingRuntime.COSTS;
import static wheattrack.policy.RecordingRuntime.SECOND;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import wheattrack.api.AttemptOutcome;

/** Which requests are rejected, wait or are admitted. */
class AdmissionTest {
  /**
   * A request too heavy for its deadline on an idle backend is rejected at once; after a latency
   * objective of such rejections one is sent.
   */
  @Test
  void requestTooHeavyForItsDeadlineIsRejectedAtOnce() {
    RecordingRuntime runtime = RecordingRuntime.withLoadReports(false);
    runtime.serveOneByOne(2, COSTS);
    int attemptsBefore = runtime.callbacks.size();
    runtime.arrive("x", 200_000);
    assertTrue(runtime.trace.toString().contains("x denied"), runtime.trace.toString());
    assertEquals(attemptsBefore, runtime.callbacks.size());
    runtime.advance(SECOND / 2);
    runtime.arrive("y", 200_000);
    assertEquals(attemptsBefore + 1, runtime.callbacks.size());
  }

  /**
   * Incidents repas big-1 and i6d7f1e, full backends got attempt after attempt: their capacity is
   * estimated from their rejections.
   */
  @Test
  void capacityIsEstimatedFromRejections() throws IOException {
    RecordingRuntime runtime = RecordingRuntime.idempotent(2, false);
    runtime.serveOneByOne(2, COSTS);
    for (int i = 0; i < 6; i++) {
      runtime.arrive("r" + i, 100);
      if (i % 3 == 2) {
        runtime.endAttempt(AttemptOutcome.FULL);
      }
    }
    RecordingRuntime idle = RecordingRuntime.idempotent(2, false);
    idle.arrive("first", 100);
    idle.endAttempt(AttemptOutcome.NO_CONNECT);
    idle.endAttempt(AttemptOutcome.DONE);
    for (int i = 0; i < 4; i++) {
      idle.arrive("s" + i, 100);
      idle.endAttempt(AttemptOutcome.DONE);
    }
    runtime.say("nothing out there and no connection:\n" + idle.trace);
    runtime.matches("room");
  }

  /**
   * Service days: requests waited at idle backends, as one in flight over a slow network was
   * counted as a standing queue.
   */
  @Test
  void requestInFlightToADistantBackendDelaysNoOther() throws IOException {
    RecordingRuntime runtime = RecordingRuntime.idempotent(1, false);
    runtime.quiet = true;
    for (int i = 0; i < 200; i++) { // one at a time, 83 ms each, most of it network latency
      runtime.arrive("busy", 300);
      runtime.advance(SECOND / 12);
      runtime.endAttempt(AttemptOutcome.DONE);
    }
    runtime.quiet = false;
    runtime.arrive("in work", 300);
    runtime.arrive("next", 300);
    runtime.arrive("one more", 300);
    runtime.matches("one-in-work");
  }

  /** Many rejections while nothing is in flight: one line of the log a second says so, and why. */
  @Test
  void rejectionsWhileIdleAreLoggedOnceASecond() throws IOException {
    RecordingRuntime runtime = RecordingRuntime.idempotent(2, false);
    runtime.removeBackends(0, 1);
    for (int i = 0; i < 30; i++) {
      runtime.quiet = true;
      runtime.arrive("r", 100);
      runtime.quiet = false;
      runtime.advance(SECOND / 10);
    }
    runtime.matches("denies-while-idle");
  }

  /**
   * No or very many proxies, extreme cost hints, one backend or none: an attempt or a quick
   * rejection.
   */
  @Test
  void extremeSettingsStillGiveAnAnswer() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyCount : new int[] {0, 5000}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(1, 0, proxyCount, true);
      for (int cost : new int[] {Integer.MAX_VALUE / 4, 0, 1}) {
        runtime.arrive("hint " + cost, cost);
        runtime.endAttempt(AttemptOutcome.DONE);
      }
      runtime.removeBackends(0);
      runtime.arrive("no srv", 100);
      recorder.say("one of " + proxyCount + " proxies:\n" + runtime.trace);
    }
    recorder.matches("odd-settings");
  }
}
