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
import wheattrack.api.RequestHandle;
import wheattrack.lab.ScenarioTexts;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;

/**
 * The three days of a large fleet, as scenarios: the module holds what is expected, others fall
 * short.
 */
class FleetTest {
  /** Sends all it has to the server that started last, as each one alone might think right. */
  private static class Eager implements Policy {
    private final PolicyRuntime port;
    private final Map<Integer, Long> ready = new HashMap<>();

    Eager(PolicyRuntime port) {
      this.port = port;
      port.watchEndpoints();
    }

    @Override
    public void updateBackend(EndpointUpdate update) {
      ready.remove(update.index());
      if (update.ready()) {
        ready.put(update.index(), update.startedAt());
      }
    }

    @Override
    public void removeBackend(int index) {
      ready.remove(index);
    }

    @Override
    public void endpointListUpdated(boolean cached) {
      // each entry was told
    }

    @Override
    public void endpointListFailed() {
      port.schedule(1_000, port::watchEndpoints);
    }

    @Override
    public RequestHandle accept(PendingRequest req) {
      long last = ready.values().stream().mapToLong(Long::longValue).max().orElse(0);
      int latest =
          ready.keySet().stream()
              .filter(b -> ready.get(b) == last)
              .min(Integer::compare)
              .orElse(-1);
      if (latest < 0) {
        port.reject(req, 0);
      } else {
        port.sendAttempt(
            req,
            latest,
            0,
            (how, lag, over) -> {
              if (!over) {
                port.reject(req, 0);
              }
            });
      }
      return new RequestHandle() {
        @Override
        public void streamingStarted(int attempt) {
          // none does
        }

        @Override
        public void clientDisconnected() {
          // nothing is held
        }
      };
    }
  }

  private static Scenario file(String name, Map<String, String> other) {
    return Scenario.read(Path.of("scenarios", "fleet", name + ".toml"), other);
  }

  private static Verdict play(String name, Policy.Maker maker) {
    Scenario s = file(name, Map.of());
    Referee referee = new Referee(s);
    new VirtualRun(s, 2, maker == null ? Policies.of(Policies.Kind.RULES, s) : maker, true, referee)
        .run();
    return referee.verdict();
  }

  @ParameterizedTest
  @ValueSource(strings = {"herd", "herd-48", "zone", "join"})
  void moduleHoldsAndOthersFallShort(String name) {
    Verdict good = play(name, null);
    assertEquals(List.of(), good.unmetExpectations(), good.figures().toString());
    Scenario s = file(name, Map.of());
    Verdict random = play(name, Policies.of(Policies.Kind.RANDOM, s));
    Set<String> fell =
        random.unmetExpectations().stream()
            .map(Scenario.Expect::figure)
            .collect(Collectors.toSet());
    s.expects.stream()
        .map(Scenario.Expect::figure)
        .filter(f -> f.startsWith("service"))
        .forEach(f -> assertTrue(fell.contains(f), f + " of " + random.figures()));
    Verdict eager = play(name, (port, seed, me) -> new Eager(port));
    assertTrue(eager.figures().get("broken.cold") > 0, eager.figures().toString());
  }

  /**
   * A replaced server drains and goes; a cold one under an id that no proxy has seen is in its
   * place.
   */
  @Test
  void replacedServersAreNew() {
    Scenario s =
        ScenarioTexts.small(
            "replayable", "[[fault]]\nkind = \"replace\"\nat-s = 1\nfor-s = 1\nshare = 0.5\n");
    Set<Long> ids = new HashSet<>();
    StringBuilder told = new StringBuilder();
    new VirtualRun(
            s,
            3,
            (port, seed, me) ->
                new Eager(port) {
                  @Override
                  public void updateBackend(EndpointUpdate update) {
                    super.updateBackend(update);
                    if (me == 0) {
                      told.append(ids.add(update.id()) ? "new " : "old ")
                          .append(update.ready() ? "ready " : "draining ");
                    }
                  }
                },
            true,
            e -> {})
        .run();
    assertEquals(
        "new ready new ready new ready new ready old draining old draining new ready new ready ",
        told.toString());
  }

  /** A zone's fault hits all servers, and all proxies, of that zone and no others. */
  @Test
  void zoneFaultsHitTheZone() {
    Set<Integer> started = new TreeSet<>(), killed = new TreeSet<>();
    VirtualRun world =
        new VirtualRun(
            file("zone", Map.of()),
            3,
            (port, seed, me) -> new Eager(port),
            true,
            e -> {
              if (e.kind() == LedgerRecord.Kind.BACKEND_STARTED && e.code() == 1) {
                started.add(e.backend());
              } else if (e.kind() == LedgerRecord.Kind.PROXY_CHANGED && e.code() == 0) {
                killed.add(e.proxy());
              }
            });
    world.run();
    assertEquals(odd(60), started);
    assertEquals(odd(14), killed);
  }

  private static Set<Integer> odd(int n) {
    return IntStream.range(0, n)
        .filter(i -> i % 2 == 1)
        .boxed()
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /** Ten proxies ask an overbooked list for all of it: the last one waits for the other nine. */
  @Test
  void overbookedListTellsInTurn() {
    long overbooked = longestWait("250"), free = longestWait("0");
    assertTrue(overbooked > 15_000, overbooked + "");
    assertTrue(free < 7_000, free + "");
  }

  private static long longestWait(String entriesPerSecond) {
    Map<Integer, Long> since = new HashMap<>();
    long[] longest = {0};
    new VirtualRun(
            file("herd", Map.of("list.entries-per-second", entriesPerSecond)),
            2,
            (port, seed, me) -> new Eager(port),
            true,
            e -> {
              if (e.kind() == LedgerRecord.Kind.PROXY_CHANGED && e.code() == 1 && e.at() > 0) {
                since.put(e.proxy(), e.at());
              } else if (e.kind() == LedgerRecord.Kind.ENDPOINT_NOTIFIED
                  && since.containsKey(e.proxy())) {
                longest[0] = Math.max(longest[0], e.at() - since.remove(e.proxy()));
              }
            })
        .run();
    return longest[0];
  }
}
