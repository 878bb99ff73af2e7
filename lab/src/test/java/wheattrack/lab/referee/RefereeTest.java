package wheattrack.lab.referee;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheattrack.lab.ScenarioTexts;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.referee.LedgerRecord.State;

/** Single lines of a ledger, and what the referee makes of them. */
class RefereeTest {
  @TempDir Path dir;

  private static String judged(String effect, LedgerRecord... entries) {
    Referee referee = new Referee(ScenarioTexts.smallScenario(effect, ""));
    referee.accept(LedgerRecord.asked(0, 1, 0, 10));
    referee.accept(LedgerRecord.taken(0, 1, 1, 0, 9_000, 0));
    List.of(entries).forEach(referee);
    referee.accept(LedgerRecord.end(60_000));
    Verdict v = referee.verdict();
    return v.breaks().stream().map(b -> b.rule() + ": " + b.how()).toList().toString();
  }

  private static LedgerRecord answered(long at, Answer how) {
    return LedgerRecord.answered(at, 1, how);
  }

  @Test
  void oneFinalAnswerBeforeDue() {
    assertEquals("[]", judged("replayable", answered(8_000, Answer.DONE)));
    assertEquals("[answers: req 1 was never answered]", judged("replayable"));
    assertEquals("[]", judged("replayable", LedgerRecord.left(500, 1)));
    assertEquals(
        "[answers: req 1 was answered 2 times]",
        judged("replayable", answered(800, Answer.DENIED), answered(900, Answer.DONE)));
    assertEquals(
        "[answers: req 1 was answered 150 ms past its due]",
        judged("replayable", answered(10_500, Answer.DONE)));
    assertEquals(
        "[answers: req 1: its connection ended without an answer]",
        judged("replayable", answered(700, Answer.BROKEN)));
    assertEquals(
        "[]",
        judged("replayable", LedgerRecord.proxy(600, 0, false), answered(700, Answer.BROKEN)));
    assertEquals(
        "[answers: req 1 was sent on 30 ms after its answer or due]",
        judged("replayable", answered(700, Answer.DENIED), LedgerRecord.came(1_000, 1, 0, 2, 100)));
  }

  @Test
  void noEffectTwice() {
    LedgerRecord first = LedgerRecord.ran(100, 1, 0, 2, 90, 200),
        again = LedgerRecord.ran(300, 1, 1, 3, 290, 200);
    LedgerRecord done = answered(600, Answer.DONE);
    assertEquals("[]", judged("replayable", first, again, done));
    assertEquals(
        "[effects: req 1 ran 2 times and may only once]",
        judged("non-replayable", first, again, done));
    assertEquals(
        "[effects: req 1 was denied, though it has run]",
        judged("non-replayable", first, answered(600, Answer.DENIED)));
    assertEquals(
        "[effects: req 1 was denied, though it has run]",
        judged("non-replayable", answered(60, Answer.DENIED), first));
    assertEquals("[]", judged("non-replayable", first, answered(600, Answer.ABORTED)));
    assertEquals(
        "[effects: req 1 ran again outside its group or window]",
        judged("uniqued\"\nwindow-ms = 10\ngroup = \"all", first, again, done));
  }

  @Test
  void drains() {
    LedgerRecord told = LedgerRecord.told(100, 0, 2, State.DRAINING, 0),
        done = answered(7_900, Answer.DONE);
    assertEquals("[]", judged("replayable", told, LedgerRecord.came(5_000, 1, 0, 2, 100), done));
    assertEquals(
        "[drains: proxy 0 sent req 1 to server 2 700 ms after it was told that it is DRAINING]",
        judged("replayable", told, LedgerRecord.came(7_100, 1, 0, 2, 100), done));
    assertEquals(
        "[]",
        judged(
            "replayable",
            told,
            LedgerRecord.told(6_000, 0, 2, State.READY, 50),
            LedgerRecord.came(7_100, 1, 0, 2, 100),
            done));
  }

  /**
   * Capacity 0.1 cold, fall at thrice that over 3 s: 9,000 units; and the sender has to have known.
   */
  @Test
  void coldServers() {
    for (boolean knew : new boolean[] {true, false}) {
      Referee referee = new Referee(ScenarioTexts.smallScenario("replayable", ""));
      referee.accept(LedgerRecord.started(0, 2, 1, true));
      if (knew) {
        referee.accept(LedgerRecord.told(10, 0, 2, State.READY, 0));
        referee.accept(LedgerRecord.told(10, 1, 2, State.READY, 0));
      }
      for (int i = 1; i <= 14; i++) {
        referee.accept(LedgerRecord.asked(10, i, 0, 1));
        referee.accept(LedgerRecord.taken(10, i, i, i % 2, 9_000, 0));
        referee.accept(LedgerRecord.came(20 + i, i, i % 2, 2, 1_000));
        referee.accept(LedgerRecord.answered(100, i, Answer.DONE));
      }
      Verdict v = referee.verdict();
      assertEquals(knew ? 1 : 0, v.figures().get("broken.cold"));
    }
  }

  /**
   * A writer killed in the middle of a line, a line that lost a digit, a writer that never ended.
   */
  @Test
  void tornLedgersAreVoid() throws Exception {
    Path file = dir.resolve("one.ledger");
    try (Ledger.Out out = new Ledger.Out(file, true)) {
      out.accept(LedgerRecord.clock(1_000, 3_000));
      out.accept(LedgerRecord.asked(3_100, 1, 0, 2.5));
      out.accept(LedgerRecord.end(3_200));
    }
    assertEquals(
        List.of(LedgerRecord.asked(1_100, 1, 0, 2.5), LedgerRecord.end(1_200)), Ledger.read(file));
    String whole = Files.readString(file);
    for (String torn :
        List.of(
            whole.substring(0, whole.length() - 3),
            whole.replace("3100", "310"),
            whole.substring(0, whole.indexOf("END")),
            "")) {
      Files.writeString(file, torn);
      assertThrows(Ledger.Void.class, () -> Ledger.read(file));
    }
  }

  /**
   * Clocks 200 ms apart: the order of what happened is by the conductor's clock, not by the
   * writers'.
   */
  @Test
  void clocksApart() throws Exception {
    Path ahead = dir.resolve("ahead.ledger"), right = dir.resolve("right.ledger");
    try (Ledger.Out a = new Ledger.Out(ahead, false);
        Ledger.Out r = new Ledger.Out(right, false)) {
      a.accept(LedgerRecord.clock(0, 2_000));
      a.accept(LedgerRecord.came(2_500, 1, 0, 2, 1));
      a.accept(LedgerRecord.end(9_000));
      r.accept(LedgerRecord.answered(600, 1, Answer.DONE));
      r.accept(LedgerRecord.end(7_500));
    }
    assertEquals(
        List.of(500L, 600L, 7_000L, 7_500L),
        Ledger.merge(List.of(right, ahead)).stream().map(LedgerRecord::at).toList());
  }
}
