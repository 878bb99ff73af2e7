package wheattrack.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import wheattrack.lab.Texts;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;
import wheattrack.port.Outcome;
import wheattrack.port.Port;
import wheattrack.port.Req;

class WorldTest {
  private static final String DRAIN = "[[fault]]\nkind = \"drain\"\nat-s = 1\nplace = 0\n";
  private static final String CRASH =
      "[[fault]]\nkind = \"crash\"\nat-s = 1\nfor-s = 1\nplace = 0\n";

  /** What a wrong proxy does with a req; how it comes to be wrong is up to the test. */
  private interface Wrong {
    void arrive(Port port, Req req, List<Integer> ready, List<Integer> ever);
  }

  private static Verdict play(String effect, String more, Wrong wrong) {
    Scenario s = Texts.small(effect, more);
    Referee referee = new Referee(s);
    Mind.Maker maker =
        (port, seed, me) -> {
          port.follow();
          List<Integer> ready = new ArrayList<>(), ever = new ArrayList<>();
          return new Mind() {
            @Override
            public void entry(
                int at,
                long name,
                boolean isReady,
                int zone,
                int pack,
                int kind,
                double weight,
                long up,
                boolean fresh) {
              ready.remove((Integer) at);
              ever.remove((Integer) at);
              ever.add(at);
              if (isReady) {
                ready.add(at);
              }
            }

            @Override
            public void gone(int at) {
              ready.remove((Integer) at);
            }

            @Override
            public void listed(boolean saved) {
              ever.sort(null);
            }

            @Override
            public void listFailed() {
              port.later(1_000, port::follow);
            }

            @Override
            public Port.Held arrive(Req req) {
              wrong.arrive(port, req, ready, ever);
              return new Port.Held() {
                @Override
                public void streams(int leg) {
                  // none does
                }

                @Override
                public void left() {
                  // nothing is held
                }
              };
            }
          };
        };
    new World(s, 5, maker, false, referee).run();
    return referee.verdict();
  }

  private static void honest(Port port, Req req, List<Integer> ready) {
    if (ready.isEmpty()) {
      port.deny(req, 0);
      return;
    }
    port.dispatch(
        req,
        ready.get((int) (req.arrived % ready.size())),
        0,
        (how, lag, over) -> {
          if (!over && how.neverRan) {
            port.deny(req, 0);
          } else if (!over) {
            port.abort(req);
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
      assertEquals(0, v.figures().get("broken"), v.breaks().toString());
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
              port.deny(req, 0);
              port.deny(req, 0);
            }));
    caught("answers", play("replayable", "", (port, req, ready, ever) -> {}));
    caught(
        "answers",
        play(
            "replayable",
            "",
            (port, req, ready, ever) -> port.later(9_800, () -> port.abort(req))));
    caught(
        "answers",
        play(
            "replayable",
            "",
            (port, req, ready, ever) -> {
              if (ready.isEmpty()) {
                port.deny(req, 0);
                return;
              }
              port.deny(req, 0);
              port.later(
                  2_000, () -> port.dispatch(req, ready.get(0), 1_000, (how, lag, over) -> {}));
            }));
  }

  @Test
  void wrongEffectsAreCaught() {
    Wrong twice =
        (port, req, ready, ever) -> {
          if (ready.size() < 2) {
            port.deny(req, 0);
            return;
          }
          port.dispatch(req, ready.get(0), 0, (how, lag, over) -> {});
          port.dispatch(req, ready.get(1), 0, (how, lag, over) -> {});
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
                port.dispatch(req, ready.get(0), 0, (how, lag, over) -> {});
                port.later(100, () -> port.deny(req, 0));
              } else {
                port.deny(req, 0);
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
    Scenario s = Texts.small("non-replayable", "[clients]\nimpatient = 1\n[net]\nclient-ms = 60\n");
    Referee referee = new Referee(s);
    new World(s, 4, Minds.Policy.RULES, referee).run();
    Verdict v = referee.verdict();
    assertEquals(0, v.figures().get("broken"), v.breaks().toString());
    assertTrue(v.figures().get("done") > 50, v.figures().toString());
  }

  /** The same seed gives the same entries to the last; another seed others. */
  @Test
  void theSameSeedGivesTheSameBytes() {
    Scenario s =
        Texts.small(
            "replayable",
            CRASH
                + "[[fault]]\nkind = \"kill-proxy\"\nat-s = 2\n"
                + "for-s = 1\n"
                + "share = 0.5\n[[fault]]\nkind = \"list-down\"\nat-s = 3\nfor-s = 1\n");
    long[] sums = new long[3];
    for (int i = 0; i < 3; i++) {
      CRC32C crc = new CRC32C();
      new World(s, i < 2 ? 9 : 10, Minds.Policy.RULES, e -> crc.update(e.toString().getBytes()))
          .run();
      sums[i] = crc.getValue();
    }
    assertEquals(sums[0], sums[1]);
    assertNotEquals(sums[0], sums[2]);
  }

  @Test
  void hungServersAnswerNothing() {
    List<Outcome> seen = new ArrayList<>();
    Verdict v =
        play(
            "non-replayable",
            "[[fault]]\nkind = \"hang\"\nat-s = 0\nshare = 1\n",
            (port, req, ready, ever) -> {
              if (ready.isEmpty()) {
                port.deny(req, 0);
                return;
              }
              port.dispatch(
                  req,
                  ready.get(0),
                  5_000,
                  (how, lag, over) -> {
                    seen.add(how);
                    port.abort(req);
                  });
            });
    assertEquals(0, v.figures().get("broken"));
    assertEquals(List.of(Outcome.TIMEOUT), seen.stream().distinct().toList());
  }
}
