package wheattrack.policy;

import static wheattrack.policy.RecordingRuntime.COSTS;

import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import wheattrack.api.AttemptOutcome;

/** Requests with and without cost hints, and changes of the hints' unit. */
class CostHintsTest {
  /**
   * Without hints each request goes to a random ready backend, long latencies alone cause no
   * rejections, and a new backend is used.
   */
  @Test
  void withoutHintsBackendsAreChosenAtRandom() throws IOException {
    RecordingRuntime runtime = RecordingRuntime.idempotent(4, false);
    runtime.removeBackends(3);
    runtime.quiet = true;
    for (int i = 0; i < 120; i++) {
      runtime.arrive("plain", 0);
      runtime.advance(1000);
      runtime.endAttempt(AttemptOutcome.DONE);
      if (i == 40) {
        runtime.addNewBackend(3);
      }
    }
    runtime.quiet = false;
    int[] attemptsByBackend = new int[4];
    runtime.attemptBackends.forEach(backend -> attemptsByBackend[backend]++);
    runtime.recordLine("of 120: " + Arrays.toString(attemptsByBackend));
    runtime.assertMatches("no-hints");
  }

  /** Sends requests one by one, 20 ms each, and records the number of attempts. */
  private static void recordAttempts(
      RecordingRuntime runtime, String label, int requests, int costHint) {
    int attemptsBefore = runtime.callbacks.size();
    runtime.quiet = true;
    for (int i = 0; i < requests; i++) {
      int attempts = runtime.callbacks.size();
      runtime.arrive("r", costHint);
      runtime.advance(200);
      if (runtime.callbacks.size() > attempts) {
        runtime.endAttempt(AttemptOutcome.DONE);
      }
    }
    runtime.quiet = false;
    runtime.recordLine(
        label + ": " + (runtime.callbacks.size() - attemptsBefore) + " of " + requests + " sent");
  }

  /**
   * Guards against rejecting requests while backends are idle, which lasted for 4 s after a new
   * release of the clients: hints begin, end, and begin again a thousand times as large.
   */
  @Test
  void hintsBeginEndAndChangeTheirUnit() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyCount : new int[] {1, 3, 300}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(3, 0, proxyCount, false);
      recordAttempts(runtime, "without hints", 200, 0);
      recordAttempts(runtime, "hints of 20 ms", 50, 200);
      recordAttempts(runtime, "without again", 50, 0);
      recordAttempts(runtime, "hints of 20,000 ms", 100, 200_000);
      recordAttempts(runtime, "hints of 0.2 ms", 100, 2);
      recorder.recordLine("one of " + proxyCount + " proxies\n" + runtime.trace);
    }
    recorder.assertMatches("hints-begin");
  }

  /**
   * Guards against growing overload through a wrong change of unit: a heavy request that its
   * clients retry repeatedly does not count as a change of the hints' unit; new requests with such
   * hints do.
   */
  @Test
  void retriesOfAHeavyRequestAreNoChangeOfUnit() throws IOException {
    RecordingRuntime runtime = RecordingRuntime.idempotent(3, false);
    runtime.serveOneByOne(5, COSTS);
    for (int i = 0; i < 40; i++) {
      runtime.quiet = true;
      runtime.arriveAsRetry("heavy", 72_000);
      runtime.quiet = false;
    }
    runtime.recordLine("forty retries of a heavy req");
    for (int i = 0; i < 10; i++) {
      runtime.quiet = i < 5;
      runtime.arrive("r" + i, 1000 * COSTS[i % COSTS.length]);
      runtime.quiet = false;
    }
    runtime.assertMatches("retries");
  }
}
