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
import wheattrack.api.RequestHandle;
import wheattrack.lab.ScenarioTexts;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;

class VirtualRunTest {
  private static final String DRAIN = "[[fault]]\nkind = \"drain\"\nat-s = 1\nplace = 0\n";
  private static final String CRASH =
      "[[fault]]\nkind = \"crash\"\nat-s = 1\nfor-s = 1\nplace = 0\n";

  /** What a wrong proxy does with a req; how it comes to be wrong is up to the test. */
  private interface Wrong {
    void arrive(PolicyRuntime port, PendingRequest req, List<Integer> ready, List<Integer> ever);
  }

  private static Verdict play(String effect, String more, Wrong wrong) {
    Scenario s = ScenarioTexts.small(effect, more);
    Referee referee = new Referee(s);
    Policy.Maker maker =
        (port, seed, me) -> {
          port.watchEndpoints();
          List<Integer> ready = new ArrayList<>(), ever = new ArrayList<>();
          return new Policy() {
            @Override
            public void updateBackend(EndpointUpdate update) {
              Integer index = update.index();
              ready.remove(index);
              ever.remove(index);
              ever.add(index);
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
              ever.sort(null);
            }

            @Override
            public void endpointListFailed() {
              port.schedule(1_000, port::watchEndpoints);
            }

            @Override
            public RequestHandle accept(PendingRequest req) {
              wrong.arrive(port, req, ready, ever);
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
          };
        };
    new VirtualRun(s, 5, maker, false, referee).run();
    return referee.verdict();
  }

  private static void honest(PolicyRuntime port, PendingRequest req, List<Integer> ready) {
    if (ready.isEmpty()) {
      port.reject(req, 0);
      return;
    }
    port.sendAttempt(
        req,
        ready.get((int) (req.arrivedAt() % ready.size())),
        0,
        (how, lag, over) -> {
          if (!over && how.neverRan()) {
            port.reject(req, 0);
          } else if (!over) {
            port.fail(req);
          }
        });
  }

  private static void caught(String rule, Verdict v) {
    assertTrue(v.figures().get("broken." + rule) > 0, v.figures().toString());
  }

  @Test
  void anHonestStubIsNotCaught() {
    for (String effect : List.of("replayable", "non-replayable")) {
      Verdict v =
          play(
              effect,
              DRAIN + CRASH.replace("place = 0", "place = 1"),
              (port, req, ready, ever) -> honest(port, req, ready));
      assertEquals(0, v.figures().get("broken"), v.violations().toString());
      assertTrue(v.figures().get("done") > 200);
    }
  }

  @Test
  void wrongAnswersAreCaught() {
    caught(
        "answers",
        play(
            "replayable",
            "",
            (port, req, ready, ever) -> {
              port.reject(req, 0);
              port.reject(req, 0);
            }));
    caught("answers", play("replayable", "", (port, req, ready, ever) -> {}));
    caught(
        "answers",
        play(
            "replayable",
            "",
            (port, req, ready, ever) -> port.schedule(9_800, () -> port.fail(req))));
    caught(
        "answers",
        play(
            "replayable",
            "",
            (port, req, ready, ever) -> {
              if (ready.isEmpty()) {
                port.reject(req, 0);
                return;
              }
              port.reject(req, 0);
              port.schedule(
                  2_000, () -> port.sendAttempt(req, ready.get(0), 1_000, (how, lag, over) -> {}));
            }));
  }

  @Test
  void wrongEffectsAreCaught() {
    Wrong twice =
        (port, req, ready, ever) -> {
          if (ready.size() < 2) {
            port.reject(req, 0);
            return;
          }
          port.sendAttempt(req, ready.get(0), 0, (how, lag, over) -> {});
          port.sendAttempt(req, ready.get(1), 0, (how, lag, over) -> {});
        };
    caught("effects", play("non-replayable", "", twice));
    assertEquals(0, play("replayable", "", twice).figures().get("broken.effects"));
    caught(
        "effects",
        play(
            "non-replayable",
            "",
            (port, req, ready, ever) -> {
              if (!ready.isEmpty()) {
                port.sendAttempt(req, ready.get(0), 0, (how, lag, over) -> {});
                port.schedule(100, () -> port.reject(req, 0));
              } else {
                port.reject(req, 0);
              }
            }));
  }

  /** One that goes on to send to a server of which it was told 700 ms ago that it drains. */
  @Test
  void lateSendsToDrainedServersAreCaught() {
    Wrong deaf = (port, req, ready, ever) -> honest(port, req, ever);
    Verdict v = play("replayable", DRAIN, deaf);
    caught("drains", v);
    assertTrue(v.figures().get("late-drain") > 700);
  }

  /** All proxies together send all they have to the one that has just come back. */
  @Test
  void coldServersPushedOverAreCaught() {
    Wrong herd =
        (port, req, ready, ever) -> honest(port, req, ready.contains(0) ? List.of(0) : ready);
    caught("cold", play("replayable", CRASH, herd));
  }

  /**
   * Clients that hang up at any moment, also with the req still on its way: nothing is lost by
   * that.
   */
  @Test
  void impatientClientsLoseNothing() {
    Scenario s =
        ScenarioTexts.small("non-replayable", "[clients]\nimpatient = 1\n[net]\nclient-ms = 60\n");
    Referee referee = new Referee(s);
    new VirtualRun(s, 4, Policies.Kind.RULES, referee).run();
    Verdict v = referee.verdict();
    assertEquals(0, v.figures().get("broken"), v.violations().toString());
    assertTrue(v.figures().get("done") > 50, v.figures().toString());
  }

  /** The same seed gives the same entries to the last; another seed others. */
  @Test
  void theSameSeedGivesTheSameBytes() {
    Scenario s =
        ScenarioTexts.small(
            "replayable",
            CRASH
                + "[[fault]]\nkind = \"kill-proxy\"\nat-s = 2\n"
                + "for-s = 1\n"
                + "share = 0.5\n[[fault]]\nkind = \"list-down\"\nat-s = 3\nfor-s = 1\n");
    long[] sums = new long[3];
    for (int i = 0; i < 3; i++) {
      CRC32C crc = new CRC32C();
      new VirtualRun(
              s, i < 2 ? 9 : 10, Policies.Kind.RULES, e -> crc.update(e.toString().getBytes()))
          .run();
      sums[i] = crc.getValue();
    }
    assertEquals(sums[0], sums[1]);
    assertNotEquals(sums[0], sums[2]);
  }

  @Test
  void hungServersAnswerNothing() {
    List<AttemptOutcome> seen = new ArrayList<>();
    Verdict v =
        play(
            "non-replayable",
            "[[fault]]\nkind = \"hang\"\nat-s = 0\nshare = 1\n",
            (port, req, ready, ever) -> {
              if (ready.isEmpty()) {
                port.reject(req, 0);
                return;
              }
              port.sendAttempt(
                  req,
                  ready.get(0),
                  5_000,
                  (how, lag, over) -> {
                    seen.add(how);
                    port.fail(req);
                  });
            });
    assertEquals(0, v.figures().get("broken"));
    assertEquals(List.of(AttemptOutcome.TIMEOUT), seen.stream().distinct().toList());
  }
}
