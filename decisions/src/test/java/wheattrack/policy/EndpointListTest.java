package wheattrack.policy;

import static wheattrack.policy.RecordingRuntime.SECOND;

import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;

/** How changes of the endpoint list are applied, and how it is polled. */
class EndpointListTest {
  /**
   * Backends that drain or were removed get no attempt. After a restart with a cached list, failed
   * polls are repeated until a list is received.
   */
  @Test
  void drainingAndRemovedBackendsGetNoAttempt() throws IOException {
    RecordingRuntime runtime = RecordingRuntime.idempotent(3, true);
    runtime.updateBackend(0, false, Long.MIN_VALUE / 2);
    runtime.removeBackends(1);
    runtime.arrive("a", 100);
    runtime.arrive("odd", Integer.MAX_VALUE / 4);
    runtime.endAttempt(0, AttemptOutcome.DONE);
    runtime.updateBackend(2, false, Long.MIN_VALUE / 2);
    runtime.arrive("b", 0);
    runtime.recordLine("restarted with the saved list");
    RecordingRuntime restarted =
        RecordingRuntime.create(
            1,
            0,
            RecordingRuntime.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
            true,
            true);
    restarted.loadBalancer.endpointListFailed(false);
    restarted.loadBalancer.endpointListFailed(false);
    restarted.advance(2 * SECOND);
    restarted.loadBalancer.endpointListUpdated(false);
    restarted.advance(20 * SECOND);
    runtime.recordLine(restarted.trace.toString());
    runtime.assertMatches("list");
  }

  /**
   * Guards against hundreds of proxies that restart together overloading discovery: while each poll
   * is rejected, polls are spread over time and become rarer.
   */
  @Test
  void pollsOfManyProxiesSpreadAndBecomeRarer() throws IOException {
    int[] pollsBySecond = new int[30];
    for (int proxyIndex = 0; proxyIndex < 300; proxyIndex++) {
      RecordingRuntime runtime =
          RecordingRuntime.create(
              2,
              proxyIndex,
              300,
              RecordingRuntime.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
              true,
              true);
      int answered = 0;
      for (int tenth = 0; tenth < 300; tenth++) {
        for (; answered < runtime.watchCount; answered++) {
          pollsBySecond[tenth / 10]++;
          runtime.loadBalancer.endpointListFailed(false);
        }
        runtime.advance(SECOND / 10);
      }
    }
    RecordingRuntime recorder = new RecordingRuntime();
    recorder.recordLine("calls of 300 proxies by second: " + Arrays.toString(pollsBySecond));
    recorder.assertMatches("list-many");
  }
}
