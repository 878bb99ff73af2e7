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
   * A request too heavy for its deadline on an idle backend is rejected immediately; once such
   * rejections have lasted for a latency objective, one is sent.
   */
  @Test
  void requestTooHeavyForItsDeadlineIsRejectedImmediately() {
    RecordingRuntime runtime = RecordingRuntime.withLoadReports(false);
    runtime.serveOneByOne(2, COSTS);
    int attemptsBefore = runtime.callbacks.size();
    runtime.arrive("x", 200_000);
    assertTrue(runtime.trace.toString().contains("x denied"), runtime.trace.toString());
    assertEquals(attemptsBefore, runtime.callbacks.size(), "attempts after x");
    runtime.advance(SECOND / 2);
    runtime.arrive("y", 200_000);
    assertEquals(attemptsBefore + 1, runtime.callbacks.size(), "attempts after y");
  }

  /**
   * Guards against sending further attempts to backends that are full, seen on the test day repas
   * big-1 and recorded as i6d7f1e: the capacity of a backend is estimated from its rejections.
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
    runtime.recordLine("nothing out there and no connection:\n" + idle.trace);
    runtime.assertMatches("room");
  }

  /**
   * Guards against counting one request in flight over a slow network as a standing queue, so that
   * further requests wait although the backend is idle; seen on the service test days.
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
    runtime.assertMatches("one-in-work");
  }

  /** Many rejections while nothing is in flight are logged once a second, with their cause. */
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
    runtime.assertMatches("denies-while-idle");
  }

  /**
   * With no or very many proxies, extreme cost hints, and one backend or none, each request still
   * gets an attempt or an immediate rejection.
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
      recorder.recordLine("one of " + proxyCount + " proxies:\n" + runtime.trace);
    }
    recorder.assertMatches("odd-settings");
  }
}
