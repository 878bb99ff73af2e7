package wheattrack.lab.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyRuntime;
import wheattrack.lab.ScenarioTexts;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;

/**
 * Guards against a referee that overlooks a broken rule, which it is shown here by policies that
 * each break one, and against runs that are not repeatable.
 */
class VirtualRunTest {
  private static final String DRAIN = "[[fault]]\nkind = \"drain\"\nat-s = 1\nplace = 0\n";
  private static final String CRASH =
      "[[fault]]\nkind = \"crash\"\nat-s = 1\nfor-s = 1\nplace = 0\n";

  /** Handles the requests of a proxy; most tests break one rule with it on purpose. */
  private interface FaultyPolicy {
    void onRequest(
        PolicyRuntime runtime,
        PendingRequest request,
        List<Integer> ready,
        List<Integer> everListed);
  }

  private static Verdict play(String effect, String faults, FaultyPolicy faultyPolicy) {
    Scenario scenario = ScenarioTexts.smallScenario(effect, faults);
    Referee referee = new Referee(scenario);
    PolicyFactory factory =
        (runtime, seed, proxyIndex) -> {
          List<Integer> ready = new ArrayList<>();
          List<Integer> everListed = new ArrayList<>();
          return new StubPolicy(runtime) {
            @Override
            public void updateBackend(EndpointUpdate update) {
              Integer index = update.index();
              ready.remove(index);
              everListed.remove(index);
              everListed.add(index);
              if (update.ready()) {
                ready.add(index);
              }
            }

            @Override
            public void removeBackend(int index) {
              ready.remove((Integer) index);
            }

            @Override
            public void endpointListUpdated(boolean cached) {
              everListed.sort(null);
            }

            @Override
            void onRequest(PendingRequest request) {
              faultyPolicy.onRequest(runtime, request, ready, everListed);
            }
          };
        };
    new VirtualRun(scenario, 5, factory, false, referee).run();
    return referee.verdict();
  }

  /**
   * Rejects each request that arrives while no backend is ready, and passes the others to a policy.
   */
  private static FaultyPolicy whenReady(FaultyPolicy policy) {
    return (runtime, request, ready, everListed) -> {
      if (ready.isEmpty()) {
        runtime.reject(request, 0);
      } else {
        policy.onRequest(runtime, request, ready, everListed);
      }
    };
  }

  private static void forwardToReady(
      PolicyRuntime runtime, PendingRequest request, List<Integer> ready) {
    if (ready.isEmpty()) {
      runtime.reject(request, 0);
      return;
    }
    runtime.sendAttempt(
        request,
        ready.get((int) (request.arrivedAt() % ready.size())),
        0,
        (outcome, latency, requestEnded) -> {
          if (!requestEnded && outcome.neverRan()) {
            runtime.reject(request, 0);
          } else if (!requestEnded) {
            runtime.fail(request);
          }
        });
  }

  private static void assertBroken(String rule, Verdict verdict) {
    assertTrue(verdict.metrics().get("broken." + rule) > 0, verdict.metrics().toString());
  }

  @Test
  void correctPolicyBreaksNoRule() {
    for (String effect : List.of("replayable", "non-replayable")) {
      Verdict verdict =
          play(
              effect,
              DRAIN + CRASH.replace("place = 0", "place = 1"),
              (runtime, request, ready, everListed) -> forwardToReady(runtime, request, ready));
      assertEquals(0, verdict.metrics().get("broken"), verdict.violations().toString());
      assertTrue(verdict.metrics().get("done") > 200, verdict.metrics().toString());
    }
  }

  @Test
  void wrongAnswersBreakTheAnswerRule() {
    assertBroken(
        "answers",
        play(
            "replayable",
            "",
            (runtime, request, ready, everListed) -> {
              runtime.reject(request, 0);
              runtime.reject(request, 0);
            }));
    assertBroken("answers", play("replayable", "", (runtime, request, ready, everListed) -> {}));
    assertBroken(
        "answers",
        play(
            "replayable",
            "",
            (runtime, request, ready, everListed) ->
                runtime.schedule(9_800, () -> runtime.fail(request))));
    assertBroken(
        "answers",
        play(
            "replayable",
            "",
            whenReady(
                (runtime, request, ready, everListed) -> {
                  runtime.reject(request, 0);
                  runtime.schedule(
                      2_000,
                      () ->
                          runtime.sendAttempt(
                              request,
                              ready.get(0),
                              1_000,
                              (outcome, latency, requestEnded) -> {}));
                })));
  }

  @Test
  void repeatedEffectsBreakTheEffectRule() {
    FaultyPolicy sendsTwice =
        (runtime, request, ready, everListed) -> {
          if (ready.size() < 2) {
            runtime.reject(request, 0);
            return;
          }
          runtime.sendAttempt(request, ready.get(0), 0, (outcome, latency, requestEnded) -> {});
          runtime.sendAttempt(request, ready.get(1), 0, (outcome, latency, requestEnded) -> {});
        };
    assertBroken("effects", play("non-replayable", "", sendsTwice));
    assertEquals(0, play("replayable", "", sendsTwice).metrics().get("broken.effects"));
    assertBroken(
        "effects",
        play(
            "non-replayable",
            "",
            whenReady(
                (runtime, request, ready, everListed) -> {
                  runtime.sendAttempt(
                      request, ready.get(0), 0, (outcome, latency, requestEnded) -> {});
                  runtime.schedule(100, () -> runtime.reject(request, 0));
                })));
  }

  /** The policy still sends to a backend over 700 ms after the notification of its drain. */
  @Test
  void attemptsAtDrainedBackendsBreakTheDrainRule() {
    FaultyPolicy ignoresDrains =
        (runtime, request, ready, everListed) -> forwardToReady(runtime, request, everListed);
    Verdict verdict = play("replayable", DRAIN, ignoresDrains);
    assertBroken("drains", verdict);
    assertTrue(verdict.metrics().get("late-drain") > 700, verdict.metrics().toString());
  }

  /** All proxies send all requests to the backend that has just been restarted. */
  @Test
  void collapsedColdBackendsBreakTheColdRule() {
    FaultyPolicy sendsAllToTheColdBackend =
        (runtime, request, ready, everListed) ->
            forwardToReady(runtime, request, ready.contains(0) ? List.of(0) : ready);
    assertBroken("cold", play("replayable", CRASH, sendsAllToTheColdBackend));
  }

  /**
   * Guards against lost requests when clients disconnect at any moment, also while their request is
   * on its way to the proxy.
   */
  @Test
  void impatientClientsBreakNoRule() {
    Scenario scenario =
        ScenarioTexts.smallScenario(
            "non-replayable", "[clients]\nimpatient = 1\n[net]\nclient-ms = 60\n");
    Referee referee = new Referee(scenario);
    new VirtualRun(scenario, 4, Policies.Kind.EQUILOAD, referee).run();
    Verdict verdict = referee.verdict();
    assertEquals(0, verdict.metrics().get("broken"), verdict.violations().toString());
    assertTrue(verdict.metrics().get("done") > 50, verdict.metrics().toString());
  }

  /** Equal seeds must give equal ledgers up to the last entry, and another seed another ledger. */
  @Test
  void equalSeedsGiveEqualLedgers() {
    Scenario scenario =
        ScenarioTexts.smallScenario(
            "replayable",
            CRASH
                + "[[fault]]\nkind = \"kill-proxy\"\nat-s = 2\n"
                + "for-s = 1\n"
                + "share = 0.5\n[[fault]]\nkind = \"list-down\"\nat-s = 3\nfor-s = 1\n");
    long[] checksums = new long[3];
    for (int i = 0; i < 3; i++) {
      CRC32C crc = new CRC32C();
      new VirtualRun(
              scenario,
              i < 2 ? 9 : 10,
              Policies.Kind.EQUILOAD,
              entry -> crc.update(entry.toString().getBytes()))
          .run();
      checksums[i] = crc.getValue();
    }
    assertEquals(checksums[0], checksums[1], "checksums of the ledgers of seed 9");
    assertNotEquals(checksums[0], checksums[2], "checksums of the ledgers of seeds 9 and 10");
  }

  @Test
  void hungBackendsTimeOut() {
    List<AttemptOutcome> outcomes = new ArrayList<>();
    Verdict verdict =
        play(
            "non-replayable",
            "[[fault]]\nkind = \"hang\"\nat-s = 0\nshare = 1\n",
            whenReady(
                (runtime, request, ready, everListed) ->
                    runtime.sendAttempt(
                        request,
                        ready.get(0),
                        5_000,
                        (outcome, latency, requestEnded) -> {
                          outcomes.add(outcome);
                          runtime.fail(request);
                        })));
    assertEquals(0, verdict.metrics().get("broken"), verdict.violations().toString());
    assertEquals(List.of(AttemptOutcome.TIMEOUT), outcomes.stream().distinct().toList());
  }
}
