package wheattrack.lab.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyRuntime;
import wheattrack.lab.ScenarioTexts;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;

/**
 * Guards the scenarios of a large fleet: the proxies' policy must meet their expectations. Policies
 * that ignore load or the other proxies must fail them, or else the scenarios prove nothing.
 */
class FleetTest {
  /**
   * Sends all requests to the backend that started last. This is right for a single proxy only:
   * many proxies that do so overload the backend.
   */
  private static class NewestBackendPolicy extends StubPolicy {
    private final Map<Integer, Long> startTimes = new HashMap<>();

    NewestBackendPolicy(PolicyRuntime runtime) {
      super(runtime);
    }

    @Override
    public void updateBackend(EndpointUpdate update) {
      startTimes.remove(update.index());
      if (update.ready()) {
        startTimes.put(update.index(), update.startedAt());
      }
    }

    @Override
    public void removeBackend(int index) {
      startTimes.remove(index);
    }

    @Override
    void onRequest(PendingRequest request) {
      long latestStart = startTimes.values().stream().mapToLong(Long::longValue).max().orElse(0);
      int latest =
          startTimes.keySet().stream()
              .filter(backend -> startTimes.get(backend) == latestStart)
              .min(Integer::compare)
              .orElse(-1);
      if (latest < 0) {
        runtime().reject(request, 0);
      } else {
        runtime()
            .sendAttempt(
                request,
                latest,
                0,
                (outcome, latency, requestEnded) -> {
                  if (!requestEnded) {
                    runtime().reject(request, 0);
                  }
                });
      }
    }
  }

  private static Scenario scenario(String name, Map<String, String> overrides) {
    return ScenarioReader.read(Path.of("scenarios", "fleet", name + ".toml"), overrides);
  }

  private static Verdict play(String name, PolicyFactory factory) {
    Scenario scenario = scenario(name, Map.of());
    Referee referee = new Referee(scenario);
    new VirtualRun(
            scenario,
            2,
            factory == null ? Policies.factory(Policies.Kind.EQUILOAD, scenario) : factory,
            true,
            referee)
        .run();
    return referee.verdict();
  }

  @ParameterizedTest
  @ValueSource(strings = {"herd", "herd-48", "zone", "join"})
  void policyMeetsExpectationsAndBaselinesDoNot(String name) {
    Verdict verdict = play(name, null);
    assertEquals(List.of(), verdict.unmetExpectations(), verdict.metrics().toString());
    Scenario scenario = scenario(name, Map.of());
    Verdict random = play(name, Policies.factory(Policies.Kind.RANDOM, scenario));
    Set<String> missedMetrics =
        random.unmetExpectations().stream()
            .map(Scenario.Expectation::metric)
            .collect(Collectors.toSet());
    scenario.expectations().stream()
        .map(Scenario.Expectation::metric)
        .filter(metric -> metric.startsWith("service"))
        .forEach(
            metric ->
                assertTrue(missedMetrics.contains(metric), metric + " of " + random.metrics()));
    Verdict newestBackend =
        play(name, (runtime, seed, proxyIndex) -> new NewestBackendPolicy(runtime));
    assertTrue(newestBackend.metrics().get("broken.cold") > 0, newestBackend.metrics().toString());
  }

  /**
   * Guards against replacements that look like restarts: a replaced backend drains and is removed
   * from the list, and a cold one with an id that was not listed before is added.
   */
  @Test
  void replacedBackendsHaveNewIds() {
    Scenario scenario =
        ScenarioTexts.smallScenario(
            "replayable", "[[fault]]\nkind = \"replace\"\nat-s = 1\nfor-s = 1\nshare = 0.5\n");
    Set<Long> ids = new HashSet<>();
    StringBuilder events = new StringBuilder();
    new VirtualRun(
            scenario,
            3,
            (runtime, seed, proxyIndex) ->
                new NewestBackendPolicy(runtime) {
                  @Override
                  public void updateBackend(EndpointUpdate update) {
                    super.updateBackend(update);
                    if (proxyIndex == 0) {
                      events
                          .append(ids.add(update.id()) ? "new " : "old ")
                          .append(update.ready() ? "ready " : "draining ");
                    }
                  }
                },
            true,
            entry -> {})
        .run();
    assertEquals(
        "new ready new ready new ready new ready old draining old draining new ready new ready ",
        events.toString());
  }

  /** The faults of a zone must hit all backends and proxies of that zone, and no others. */
  @Test
  void zoneFaultsHitOneZone() {
    Set<Integer> coldBackends = new TreeSet<>();
    Set<Integer> killedProxies = new TreeSet<>();
    VirtualRun run =
        new VirtualRun(
            scenario("zone", Map.of()),
            3,
            (runtime, seed, proxyIndex) -> new NewestBackendPolicy(runtime),
            true,
            entry -> {
              if (entry.kind() == LedgerRecord.Kind.BACKEND_STARTED && entry.isCold()) {
                coldBackends.add(entry.backend());
              } else if (entry.kind() == LedgerRecord.Kind.PROXY_CHANGED && !entry.isUp()) {
                killedProxies.add(entry.proxy());
              }
            });
    run.run();
    assertEquals(oddNumbersBelow(60), coldBackends, "backends that started cold");
    assertEquals(oddNumbersBelow(14), killedProxies, "killed proxies");
  }

  private static Set<Integer> oddNumbersBelow(int bound) {
    return IntStream.range(0, bound)
        .filter(number -> number % 2 == 1)
        .boxed()
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /**
   * Guards against a rate limit that is applied to each proxy by itself: when ten proxies watch a
   * list of limited rate at the same time, the last one waits until the other nine are served.
   */
  @Test
  void rateLimitedDiscoveryServesProxiesInTurn() {
    long limited = longestWait("250");
    long unlimited = longestWait("0");
    assertTrue(limited > 15_000, "longest wait with a limit: " + limited);
    assertTrue(unlimited < 7_000, "longest wait without a limit: " + unlimited);
  }

  /** The longest time from a proxy's restart to its first entry, in tenths of a millisecond. */
  private static long longestWait(String entriesPerSecond) {
    Map<Integer, Long> startedAt = new HashMap<>();
    long[] longest = {0};
    new VirtualRun(
            scenario("herd", Map.of("list.entries-per-second", entriesPerSecond)),
            2,
            (runtime, seed, proxyIndex) -> new NewestBackendPolicy(runtime),
            true,
            entry -> {
              if (entry.kind() == LedgerRecord.Kind.PROXY_CHANGED
                  && entry.isUp()
                  && entry.at() > 0) {
                startedAt.put(entry.proxy(), entry.at());
              } else if (entry.kind() == LedgerRecord.Kind.ENDPOINT_NOTIFIED
                  && startedAt.containsKey(entry.proxy())) {
                longest[0] = Math.max(longest[0], entry.at() - startedAt.remove(entry.proxy()));
              }
            })
        .run();
    return longest[0];
  }
}
