package wheattrack.policy;

import static wheattrack.policy.RecordingRuntime.COSTS;
import static wheattrack.policy.RecordingRuntime.SECOND;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.PolicySettings;
import wheattrack.state.Ticks;

/** Which requests are retried, hedged or cancelled, and when. */
class RetryTest {
  /** After which outcome a non-idempotent request is retried, rejected or failed. */
  @Test
  void nonIdempotentRequestsNeverRunTwice() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (AttemptOutcome outcome : AttemptOutcome.values()) {
      if (outcome != AttemptOutcome.DONE) {
        RecordingRuntime runtime =
            RecordingRuntime.create(
                2,
                0,
                RecordingRuntime.requestClass(
                    Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0),
                true,
                false);
        runtime.arrive("pay", 100);
        runtime.endAttempt(outcome);
        recorder.recordLine(outcome + ":\n" + runtime.trace);
      }
    }
    recorder.assertMatches("non-replayable");
  }

  /**
   * A keyed request that may have run is retried within its deduplication scope and window only.
   */
  @Test
  void keyedRequestsAreRetriedWithinScopeAndWindow() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (DeduplicationScope scope : DeduplicationScope.values()) {
      for (long wait : new long[] {SECOND / 10 - 1, SECOND / 10}) {
        RecordingRuntime runtime =
            RecordingRuntime.create(
                7,
                0,
                RecordingRuntime.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, scope, 0.5),
                true,
                false);
        runtime.arrive("mark", 100);
        runtime.advance(wait);
        runtime.endAttempt(AttemptOutcome.RESET);
        recorder.recordLine(scope + " after " + wait + ":\n" + runtime.trace);
      }
    }
    recorder.assertMatches("uniqued");
  }

  /**
   * Guards against wasting work on late answers, seen on the test day repas: a request past its
   * objective whose answer has no value any more is cancelled and rejected immediately. It also
   * guards against doing the same work twice, seen on the test day amman-later rough-2: this is
   * done only if the Retry-After outlasts the client's timeout.
   */
  @Test
  void requestPastItsObjectiveIsCancelledAndRejected() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (long maxRetryAfter : new long[] {SECOND, 2 * SECOND}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(1, false);
      runtime.configure(
          runtime.settings.withAttempts(
              new PolicySettings.AttemptLimits(4, true, false, maxRetryAfter)));
      runtime.arrive("late", 100);
      runtime.advance(SECOND / 2);
      runtime.arrive("next", 4000);
      runtime.endAttempt(0, AttemptOutcome.CANCELLED);
      runtime.arrive("queued behind the ghost", 100);
      recorder.recordLine(
          "waits up to " + maxRetryAfter / Ticks.MILLISECOND + " ms:\n" + runtime.trace);
    }
    recorder.assertMatches("late");
  }

  /**
   * Guards against losing requests in queues that no proxy knows of, seen on the test day
   * repas-later big-1: a request that is its proxy's only one at the backend is hedged once it has
   * taken a set fraction of its objective.
   */
  @Test
  void lateRequestIsHedged() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyCount : new int[] {3, 300}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(4, 0, proxyCount, true);
      runtime.serveOneByOne(3, COSTS);
      runtime.arrive("alone", 40);
      runtime.advance(2500);
      runtime.endAttempt(AttemptOutcome.DONE);
      recorder.recordLine("one of " + proxyCount + " proxies, 250 ms later:\n" + runtime.trace);
    }
    recorder.assertMatches("second-copy");
  }
}
