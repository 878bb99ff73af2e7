package wheattrack.policy;

import static wheattrack.policy.RecordingRuntime.COSTS;
import static wheattrack.policy.RecordingRuntime.SECOND;

import java.io.IOException;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.api.AttemptOutcome;

/** What new backends get, and what proxies send that have just started. */
class SlowStartTest {
  /** The backends of all attempts of a busy second. */
  private static List<Integer> backendsOfABusySecond(RecordingRuntime runtime) {
    int attemptsBefore = runtime.attemptBackends.size();
    runtime.serveOneByOne(1, COSTS);
    return runtime.attemptBackends.subList(attemptsBefore, runtime.attemptBackends.size());
  }

  /**
   * Incident, new backends overloaded by light requests: three proxies keep one within its budget.
   */
  @Test
  void allProxiesKeepANewBackendWithinItsBudget() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyIndex = 0; proxyIndex < 3; proxyIndex++) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(4, proxyIndex, 3, false);
      runtime.loadBalancer.removeBackend(0);
      runtime.loadBalancer.endpointListUpdated(false);
      runtime.serveOneByOne(4, COSTS);
      runtime.updateBackend(0, true, runtime.now());
      runtime.loadBalancer.endpointListUpdated(false);
      for (int second = 0; second < 9; second++) {
        List<Integer> backends = backendsOfABusySecond(runtime);
        recorder.say(
            proxyIndex
                + " in second "
                + second
                + ": "
                + Collections.frequency(backends, 0)
                + " of "
                + backends.size());
      }
    }
    recorder.matches("fresh");
  }

  /**
   * Incident join+vast, new backends left idle while the rest was overloaded: of 8 proxies before
   * 48 backends each uses 24, and the 24 that get nothing from it say nothing about what a new one
   * can do. Slow start takes turns among the four proxies that use it: the sixth proxy has the
   * second turn.
   */
  @Test
  void newBackendIsUsedByTheProxiesOfItsPart() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyIndex : new int[] {0, 1, 5}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(48, proxyIndex, 8, false);
      runtime.serveOneByOne(6, COSTS);
      int newBackend = 24 * (proxyIndex % 2) + 12;
      runtime.updateBackend(newBackend, true, runtime.now());
      runtime.loadBalancer.endpointListUpdated(false);
      for (int second = 0; second < 8; second++) {
        List<Integer> backends = backendsOfABusySecond(runtime);
        long backendCount = backends.stream().distinct().count();
        recorder.say(
            proxyIndex
                + " in second "
                + second
                + ": "
                + Collections.frequency(backends, newBackend)
                + " of "
                + backends.size()
                + " at "
                + backendCount);
      }
    }
    recorder.matches("fresh-part");
  }

  /**
   * Incident herd+vast, new backends kept idle as long as there was little traffic: the budget is
   * what they can do.
   */
  @Test
  void newBackendIsUsedAfterAQuietTime() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyCount : new int[] {1, 3}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(2, 0, proxyCount, false);
      runtime.loadBalancer.removeBackend(1);
      runtime.loadBalancer.endpointListUpdated(false);
      runtime.quiet = true;
      for (int i = 0; i < 40; i++) {
        runtime.arrive("seldom", 40);
        runtime.advance(40);
        runtime.endAttempt(AttemptOutcome.DONE);
        runtime.advance(SECOND / 5);
      }
      runtime.updateBackend(1, true, runtime.now());
      runtime.loadBalancer.endpointListUpdated(false);
      for (int second = 0; second < 3; second++) {
        List<Integer> backends = backendsOfABusySecond(runtime);
        recorder.say(
            "of "
                + proxyCount
                + " in second "
                + second
                + ": "
                + Collections.frequency(backends, 1)
                + " of "
                + backends.size());
      }
    }
    recorder.matches("fresh-quiet");
  }

  /**
   * Incident join+vast, new backends faster than their age says were kept at it: what one does is
   * what it can do.
   */
  @Test
  void fastNewBackendGetsWhatItCanDo() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int slowdown : new int[] {1, 4}) { // times longer at the new one
      RecordingRuntime runtime = RecordingRuntime.idempotent(3, 0, 8, false);
      runtime.loadBalancer.removeBackend(2);
      runtime.loadBalancer.endpointListUpdated(false);
      runtime.quiet = true;
      for (int second = 0; second < 8; second++) {
        int attemptsBefore = runtime.attemptBackends.size();
        for (int i = 0; i < 50; i++) {
          int first = runtime.callbacks.size();
          runtime.arrive("a", 40);
          runtime.arrive("b", 40);
          runtime.advance(40);
          for (int time = 40; time <= 160; time += 40) {
            for (int attempt = first; attempt < runtime.callbacks.size(); attempt++) {
              if (time == (runtime.attemptBackends.get(attempt) == 2 ? 40 * slowdown : 160)) {
                runtime.endAttempt(attempt, AttemptOutcome.DONE);
              }
            }
            runtime.advance(40);
          }
        }
        List<Integer> backends =
            runtime.attemptBackends.subList(attemptsBefore, runtime.attemptBackends.size());
        recorder.say(
            "new one "
                + slowdown
                + " times as slow, second "
                + second
                + ": "
                + Collections.frequency(backends, 2)
                + " of "
                + backends.size());
        if (second == 3) {
          runtime.updateBackend(2, true, runtime.now());
          runtime.loadBalancer.endpointListUpdated(false);
        }
      }
    }
    recorder.matches("fresh-shows");
  }

  /**
   * Incident herd+vast, ten of 14 proxies restart at once and fill every queue: at a backend not
   * used before, requests wait for the first answer.
   */
  @Test
  void proxiesThatStartAtOnceFillNoQueues() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyCount : new int[] {1, 14}) {
      RecordingRuntime runtime = RecordingRuntime.idempotent(60, 0, proxyCount, false);
      runtime.quiet = true;
      for (int i = 0; i < 300; i++) {
        runtime.arrive("r" + i, 600 + i % 7 * 100);
      }
      int mostAtOneBackend =
          runtime.attemptBackends.stream()
              .mapToInt(b -> Collections.frequency(runtime.attemptBackends, b))
              .max()
              .orElse(0);
      recorder.say(
          "one of "
              + proxyCount
              + ": "
              + runtime.attemptBackends.size()
              + " of 300 sent, "
              + mostAtOneBackend
              + " at most to a srv");
    }
    recorder.matches("all-start");
  }
}
