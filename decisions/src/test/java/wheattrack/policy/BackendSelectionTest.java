package wheattrack.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.policy.RecordingRuntime.COSTS;
import static wheattrack.policy.RecordingRuntime.SECOND;

import java.io.IOException;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.PolicySettings;

/**
 * How a backend is chosen: partition, load reports, and the subset of the backends that one of many
 * proxies uses.
 */
class BackendSelectionTest {
  /**
   * Each backend gets an equal share of the summed cost, in the order of ids; requests of a cost at
   * the boundary of two intervals are split between them, and busy backends are skipped.
   */
  @Test
  void equalSharesOfCostInIdOrder() throws IOException {
    RecordingRuntime runtime = RecordingRuntime.idempotent(4, false);
    runtime.serveOneByOne(3, COSTS);
    for (int cost : COSTS) {
      int[] attemptsByBackend = new int[4];
      runtime.quiet = true;
      for (int i = 0; i < 20; i++) {
        runtime.arrive("x", cost);
        attemptsByBackend[runtime.attemptBackends.get(runtime.attemptBackends.size() - 1)]++;
        runtime.advance(cost);
        runtime.endAttempt(AttemptOutcome.DONE);
      }
      runtime.quiet = false;
      runtime.recordLine(cost + ": " + Arrays.toString(attemptsByBackend));
    }
    runtime.recordLine("four alike at once");
    for (int i = 0; i < 4; i++) {
      runtime.arrive("r" + i, 100);
    }
    runtime.assertMatches("cuts");
  }

  /**
   * Two backends are probed before the first attempt; without an answer the attempt waits for a
   * thirtieth of the latency objective only.
   */
  @Test
  void loadIsProbedBeforeTheFirstAttempt() {
    RecordingRuntime runtime = RecordingRuntime.withLoadReports(true);
    runtime.arrive("x", 100);
    assertEquals(
        List.of(2, 0),
        List.of(runtime.trace.toString().split("probe").length - 1, runtime.callbacks.size()),
        "load probes and attempts");
    runtime.advance(SECOND / 2 / 30);
    assertEquals(1, runtime.callbacks.size(), "attempts at the probe timeout");
    runtime.advance(SECOND);
    assertEquals(1, runtime.callbacks.size(), "attempts a second later");
  }

  /** Three of four backends report requests in flight: the fourth gets all requests. */
  @Test
  void allRequestsGoToTheBackendThatReportsNoLoad() {
    RecordingRuntime runtime = RecordingRuntime.withLoadReports(false);
    for (int i = 0; i < 20; i++) {
      for (int backend = 0; backend < 4; backend++) {
        runtime.loadBalancer.onLoadReport(backend, backend == 2 ? 0 : 9, backend == 2 ? 0 : 7);
      }
      runtime.arrive("x", COSTS[i % 8]);
      runtime.advance(100);
      runtime.endAttempt(AttemptOutcome.DONE);
    }
    assertEquals(20, Collections.frequency(runtime.attemptBackends, 2), "attempts at backend 2");
  }

  /**
   * Guards against hundreds of proxies exhausting the connections of every backend, as 726 proxies
   * did (recorded as i306e13): each of many proxies uses a subset of the backends.
   */
  @Test
  void eachOfManyProxiesUsesASubsetOfTheBackends() throws IOException {
    RecordingRuntime recorder = new RecordingRuntime();
    for (int proxyCount : new int[] {3, 50, 300}) {
      int[] proxiesByBackend = new int[40];
      for (int proxyIndex = 0; proxyIndex < proxyCount; proxyIndex++) {
        RecordingRuntime runtime = RecordingRuntime.idempotent(40, proxyIndex, proxyCount, true);
        for (int i = 0; i < 400; i++) {
          runtime.arrive("r", 0);
          runtime.endAttempt(AttemptOutcome.DONE);
        }
        runtime.attemptBackends.stream().distinct().forEach(backend -> proxiesByBackend[backend]++);
      }
      recorder.recordLine(
          proxyCount + " proxies, those that meet each srv: " + Arrays.toString(proxiesByBackend));
    }
    recorder.assertMatches("part");
  }

  /**
   * Guards against an outage of most backends in a proxy's subset, recorded as i8788ed: the subset
   * grows within a second.
   */
  @Test
  void subsetGrowsInAnOutage() throws IOException {
    RecordingRuntime runtime = RecordingRuntime.idempotent(30, 0, 12, false);
    runtime.quiet = true;
    runtime.arrive("r", 0);
    for (int attempt = 0; attempt < runtime.callbacks.size() && attempt < 40; attempt++) {
      runtime.endAttempt(attempt, AttemptOutcome.NO_CONNECT);
      runtime.arrive("r", 0);
    }
    long backendsBefore = runtime.attemptBackends.stream().distinct().count();
    runtime.advance(2 * SECOND);
    for (int i = 0; i < 100; i++) {
      runtime.arrive("r", 0);
      runtime.endAttempt(AttemptOutcome.DONE);
    }
    runtime.quiet = false;
    runtime.recordLine(
        backendsBefore
            + " srvs met, all turn it away; a second later "
            + runtime.attemptBackends.stream().distinct().count());
    runtime.assertMatches("part-widens");
  }

  /** With prices at which a second of an open connection costs a handshake, it is closed then. */
  @Test
  void idleConnectionsAreClosedWhenTheyCostMoreThanAHandshake() {
    RecordingRuntime runtime = RecordingRuntime.idempotent(4, false);
    runtime.configure(runtime.settings.withTraffic(new PolicySettings.Traffic(400, 0.08, 0.08)));
    runtime.loadBalancer.endpointListUpdated(false);
    runtime.arrive("x", 100);
    runtime.endAttempt(AttemptOutcome.DONE);
    runtime.advance(SECOND - 1);
    assertFalse(runtime.trace.toString().contains("hang up"), runtime.trace.toString());
    runtime.advance(SECOND / 5);
    assertTrue(
        runtime.trace.toString().contains("hang up " + (10 * runtime.attemptBackends.get(0) + 10)),
        runtime.trace.toString());
  }
}
