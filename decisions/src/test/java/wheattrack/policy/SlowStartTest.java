package wheattrack.policy;

import static wheattrack.policy.RecordingRuntime.COSTS;
import static wheattrack.policy.RecordingRuntime.SECOND;

import java.io.IOException;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.api.AttemptOutcome;
import wheattrack.testing.TraceRecorder;

/** How much is sent to new backends, and by proxies that have just started. */
class SlowStartTest {
  /** Serves requests for a second; returns the backend of each attempt. */
  private static List<Integer> backendsUsedInOneSecond(RecordingRuntime runtime) {
    int attemptsBefore = runtime.attemptBackends.size();
    runtime.serveOneByOne(1, COSTS);
    return runtime.attemptBackends.subList(attemptsBefore, runtime.attemptBackends.size());
  }

  /** How many of these attempts went to a backend, and of how many. */
  private static String shareOf(int backend, List<Integer> attemptBackends) {
    return Collections.frequency(attemptBackends, backend) + " of " + attemptBackends.size();
  }

  /** Serves requests for this many seconds; records a backend's share of each second's attempts. */
  private static void recordShares(
      TraceRecorder recorder, String proxy, RecordingRuntime runtime, int backend, int seconds) {
    for (int second = 0; second < seconds; second++) {
      String share = shareOf(backend, backendsUsedInOneSecond(runtime));
      recorder.recordLine(proxy + " in second " + second + ": " + share);
    }
  }

  /**
   * Guards against overloading a new backend with many light requests from several proxies: three
   * proxies together keep a new backend within its slow-start budget.
   */
  @Test
  void allProxiesKeepANewBackendWithinItsBudget() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyIndex = 0; proxyIndex < 3; proxyIndex++) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(4, proxyIndex, 3, false);
      runtime.removeBackends(0);
      runtime.serveOneByOne(4, COSTS);
      runtime.addNewBackend(0);
      recordShares(recorder, "" + proxyIndex, runtime, 0, 9);
    }
    recorder.assertMatches("fresh");
  }

  /**
   * Guards against leaving a new backend idle while the others are overloaded, seen on the test day
   * join+vast. Of 8 proxies with 48 backends, each uses 24; the other 24 say nothing about the
   * throughput of a new one. The four proxies that use the new backend start one after the other:
   * the sixth proxy is the second of them.
   */
  @Test
  void newBackendIsUsedByTheProxiesWithItInTheirSubset() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyIndex : new int[] {0, 1, 5}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(48, proxyIndex, 8, false);
      runtime.serveOneByOne(6, COSTS);
      int newBackend = 24 * (proxyIndex % 2) + 12;
      runtime.addNewBackend(newBackend);
      for (int second = 0; second < 8; second++) {
        List<Integer> backends = backendsUsedInOneSecond(runtime);
        long backendCount = backends.stream().distinct().count();
        String share = shareOf(newBackend, backends);
        recorder.recordLine(
            proxyIndex + " in second " + second + ": " + share + " at " + backendCount);
      }
    }
    recorder.assertMatches("fresh-part");
  }

  /**
   * Guards against keeping a new backend idle after a time of little traffic, seen on the test day
   * herd+vast: its budget follows the throughput that it is capable of, not the little that other
   * backends have completed.
   */
  @Test
  void newBackendIsUsedAfterLittleTraffic() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyCount : new int[] {1, 3}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(2, 0, proxyCount, false);
      runtime.removeBackends(1);
      runtime.quiet = true;
      for (int i = 0; i < 40; i++) {
        runtime.arrive("seldom", 40);
        runtime.advance(40);
        runtime.endAttempt(AttemptOutcome.DONE);
        runtime.advance(SECOND / 5);
      }
      runtime.addNewBackend(1);
      recordShares(recorder, "of " + proxyCount, runtime, 1, 3);
    }
    recorder.assertMatches("fresh-quiet");
  }

  /**
   * Guards against giving a new backend that is faster than expected at its age no more than the
   * expected share, seen on the test day join+vast: its measured throughput counts.
   */
  @Test
  void fastNewBackendGetsAShareByItsMeasuredThroughput() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int slowdown : new int[] {1, 4}) { // factor of the service time at the new backend
      RecordingRuntime runtime = RecordingRuntime.idempotent(3, 0, 8, false);
      runtime.removeBackends(2);
      runtime.quiet = true;
      for (int second = 0; second < 8; second++) {
        int attemptsBefore = runtime.attemptBackends.size();
        for (int i = 0; i < 50; i++) {
          int firstNewAttempt = runtime.callbacks.size();
          runtime.arrive("a", 40);
          runtime.arrive("b", 40);
          runtime.advance(40);
          for (int time = 40; time <= 160; time += 40) {
            for (int attempt = firstNewAttempt; attempt < runtime.callbacks.size(); attempt++) {
              if (time == (runtime.attemptBackends.get(attempt) == 2 ? 40 * slowdown : 160)) {
                runtime.endAttempt(attempt, AttemptOutcome.DONE);
              }
            }
            runtime.advance(40);
          }
        }
        List<Integer> backends =
            runtime.attemptBackends.subList(attemptsBefore, runtime.attemptBackends.size());
        recorder.recordLine(
            "new one "
                + slowdown
                + " times as slow, second "
                + second
                + ": "
                + shareOf(2, backends));
        if (second == 3) {
          runtime.addNewBackend(2);
        }
      }
    }
    recorder.assertMatches("fresh-shows");
  }

  /**
   * Guards against proxies that restart together filling every queue, as ten of 14 did on the test
   * day herd+vast: a proxy sends a second request to a backend that it has not used before only
   * after the first answer.
   */
  @Test
  void proxiesThatStartTogetherFillNoQueues() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyCount : new int[] {1, 14}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(60, 0, proxyCount, false);
      runtime.quiet = true;
      for (int i = 0; i < 300; i++) {
        runtime.arrive("r" + i, 600 + i % 7 * 100);
      }
      int mostAtOneBackend =
          runtime.attemptBackends.stream()
              .mapToInt(backend -> Collections.frequency(runtime.attemptBackends, backend))
              .max()
              .orElse(0);
      recorder.recordLine(
          "one of "
              + proxyCount
              + ": "
              + runtime.attemptBackends.size()
              + " of 300 sent, "
              + mostAtOneBackend
              + " at most to a srv");
    }
    recorder.assertMatches("all-start");
  }
}
