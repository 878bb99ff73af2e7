package wheattrack.policy;

import static wheattrack.policy.RecordingRuntime.COSTS;
import static wheattrack.policy.RecordingRuntime.SECOND;

import java.io.IOException;
import java.util.Arrays;
import java.util.Collections;
import org.junit.jupiter.api.Test;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.state.Ticks;

/** Which backends are avoided or ejected, and when they are reinstated. */
class OutlierDetectionTest {
  /**
   * Guards against sending requests that busy backends have no capacity for to a backend that
   * answers errors immediately, and therefore looks idle.
   */
  @Test
  void backendWithFastErrorsIsAvoided() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (Idempotency idempotency :
        new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT}) {
      RecordingRuntime runtime =
          RecordingRuntime.create(
              4,
              0,
              RecordingRuntime.requestClass(idempotency, DeduplicationScope.ALL, 0),
              false,
              false);
      runtime.quiet = true;
      for (int i = 0; i < 600; i++) {
        runtime.arrive("x", COSTS[i % 8]);
        runtime.advance(COSTS[i % 8]);
        for (int attempt = runtime.callbacks.size() - 1;
            attempt < runtime.callbacks.size();
            attempt++) {
          runtime.endAttempt(
              attempt,
              runtime.attemptBackends.get(attempt) == 1
                  ? AttemptOutcome.ERROR
                  : AttemptOutcome.DONE);
        }
      }
      int[] attemptsByBackend = new int[4];
      int attempt = runtime.callbacks.size();
      for (int i = 0; i < 20; i++) {
        runtime.arrive("burst", 80);
        while (attempt < runtime.callbacks.size()) {
          attemptsByBackend[runtime.attemptBackends.get(attempt)]++;
          attempt++;
        }
      }
      recorder.recordLine(idempotency + ": " + Arrays.toString(attemptsByBackend));
    }
    recorder.assertMatches("ailing");
  }

  /**
   * Guards against ejecting working backends, seen on the test day amman quiet, and against
   * detecting hung backends late, seen on the test day repas big-1: a backend is ejected when it
   * does not answer for too long, and reinstated at its next answer.
   */
  @Test
  void missingAnswersEjectAndAnAnswerReinstates() throws IOException {
    for (boolean mayHedge : new boolean[] {true, false}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(3, mayHedge);
      runtime.serveOneByOne(2, COSTS);
      int firstNewAttempt = runtime.callbacks.size();
      for (int i = 0; i < 8; i++) {
        runtime.arrive("r" + i, 10 * i + 10);
        runtime.advance(300);
        for (int attempt = firstNewAttempt; attempt < runtime.callbacks.size(); attempt++) {
          if (runtime.attemptBackends.get(attempt) != 0) {
            runtime.endAttempt(attempt, AttemptOutcome.DONE);
          }
        }
        firstNewAttempt = runtime.callbacks.size();
      }
      runtime.advance(SECOND);
      runtime.arrive("trial", 10);
      runtime.endAttempt(AttemptOutcome.DONE);
      runtime.assertMatches("hung-" + (mayHedge ? "copies" : "moves"));
    }
  }

  /**
   * Guards against forgetting between two attempts that a backend is slow, recorded as ibf8546:
   * where attempts are rare, the measurements of a backend decay more slowly.
   */
  @Test
  void slowBackendStaysKnownBetweenRareAttempts() throws IOException {
    RecordingRuntime runtime = RecordingRuntime.idempotent(4, 0, 300, false);
    runtime.quiet = true;
    for (int i = 0; i < 80; i++) {
      runtime.arrive("rare", COSTS[i % COSTS.length]);
      runtime.advance(runtime.attemptBackends.get(i) == 0 ? 4000 : 100);
      runtime.endAttempt(AttemptOutcome.DONE);
      runtime.advance(2 * SECOND);
    }
    runtime.quiet = false;
    for (int backend = 0; backend < 4; backend++) {
      runtime.recordLine(
          10 * backend + 10 + ": " + Collections.frequency(runtime.attemptBackends, backend));
    }
    runtime.assertMatches("slow-rare");
  }

  /**
   * Guards against ejecting a backend as unreachable when it rejects a request after a wait, seen
   * on the service test days.
   */
  @Test
  void rejectionAfterAWaitDoesNotEject() throws IOException {
    RecordingRuntime runtime = RecordingRuntime.idempotent(2, false);
    runtime.serveOneByOne(2, COSTS);
    for (long wait : new long[] {SECOND / 10, SECOND / 100}) {
      runtime.arrive("given up on after " + wait / Ticks.MILLISECOND + " ms", 100);
      runtime.advance(wait);
      runtime.endAttempt(AttemptOutcome.FULL);
      runtime.endAttempt(AttemptOutcome.DONE);
    }
    runtime.assertMatches("gave-up");
  }
}
