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

/**
 * Judges single records, and reads ledgers that are truncated, corrupt or by clocks that differ.
 */
class RefereeTest {
  @TempDir Path dir;

  private static String judge(String idempotency, LedgerRecord... entries) {
    Referee referee = new Referee(ScenarioTexts.smallScenario(idempotency, ""));
    referee.accept(LedgerRecord.operationStarted(0, 1, 0, 10));
    referee.accept(LedgerRecord.requestAccepted(0, 1, 1, 0, 9_000, 0));
    List.of(entries).forEach(referee);
    referee.accept(LedgerRecord.end(60_000));
    Verdict verdict = referee.verdict();
    return verdict.violations().stream()
        .map(violation -> violation.rule() + ": " + violation.description())
        .toList()
        .toString();
  }

  private static LedgerRecord answered(long at, Answer answer) {
    return LedgerRecord.answered(at, 1, answer);
  }

  @Test
  void eachRequestHasOneFinalAnswerByItsDeadline() {
    assertEquals("[]", judge("replayable", answered(8_000, Answer.DONE)));
    assertEquals("[answers: req 1 was never answered]", judge("replayable"));
    assertEquals("[]", judge("replayable", LedgerRecord.clientDisconnected(500, 1)));
    assertEquals(
        "[answers: req 1: expected 1 answer, got 2]",
        judge("replayable", answered(800, Answer.REJECTED), answered(900, Answer.DONE)));
    assertEquals(
        "[answers: req 1 was answered 150 ms after its deadline]",
        judge("replayable", answered(10_500, Answer.DONE)));
    assertEquals(
        "[answers: req 1: expected an answer, got the connection's end]",
        judge("replayable", answered(700, Answer.CONNECTION_LOST)));
    assertEquals(
        "[]",
        judge(
            "replayable",
            LedgerRecord.proxyChanged(600, 0, false),
            answered(700, Answer.CONNECTION_LOST)));
    assertEquals(
        "[answers: req 1 was sent to backend 2, 30 ms after its answer or deadline]",
        judge(
            "replayable",
            answered(700, Answer.REJECTED),
            LedgerRecord.attemptArrived(1_000, 1, 0, 2, 100)));
  }

  @Test
  void noForbiddenRepeatedExecution() {
    LedgerRecord first = LedgerRecord.executionStarted(100, 1, 0, 2, 90, 200);
    LedgerRecord again = LedgerRecord.executionStarted(300, 1, 1, 3, 290, 200);
    LedgerRecord done = answered(600, Answer.DONE);
    assertEquals("[]", judge("replayable", first, again, done));
    assertEquals(
        "[effects: req 1: expected 1 execution, got 2]",
        judge("non-replayable", first, again, done));
    assertEquals(
        "[effects: req 1 was rejected, but was executed and may not be executed again]",
        judge("non-replayable", first, answered(600, Answer.REJECTED)));
    assertEquals(
        "[effects: req 1 was rejected, but was executed and may not be executed again]",
        judge("non-replayable", answered(60, Answer.REJECTED), first));
    assertEquals("[]", judge("non-replayable", first, answered(600, Answer.FAILED)));
    assertEquals(
        "[effects: req 1 was executed again by backend 3, after backend 2,"
            + " outside its deduplication scope or window]",
        judge("uniqued\"\nwindow-ms = 10\ngroup = \"all", first, again, done));
  }

  @Test
  void noAttemptsToDrainingBackends() {
    LedgerRecord draining = LedgerRecord.endpointNotified(100, 0, 2, State.DRAINING, 0);
    LedgerRecord done = answered(7_900, Answer.DONE);
    assertEquals(
        "[]",
        judge("replayable", draining, LedgerRecord.attemptArrived(5_000, 1, 0, 2, 100), done));
    assertEquals(
        "[drains: proxy 0 sent req 1 to backend 2, 700 ms after it was notified"
            + " that the backend is DRAINING]",
        judge("replayable", draining, LedgerRecord.attemptArrived(7_100, 1, 0, 2, 100), done));
    assertEquals(
        "[]",
        judge(
            "replayable",
            draining,
            LedgerRecord.endpointNotified(6_000, 0, 2, State.READY, 50),
            LedgerRecord.attemptArrived(7_100, 1, 0, 2, 100),
            done));
  }

  /**
   * A backend with a cold capacity of 0.1 collapses at three times that over 3 s, which is 9,000
   * units of work; it is a violation only if the senders had been notified of the start.
   */
  @Test
  void coldBackendsCollapseOnlyUnderInformedLoad() {
    for (boolean isNotified : new boolean[] {true, false}) {
      Referee referee = new Referee(ScenarioTexts.smallScenario("replayable", ""));
      referee.accept(LedgerRecord.backendStarted(0, 2, 1, true));
      if (isNotified) {
        referee.accept(LedgerRecord.endpointNotified(10, 0, 2, State.READY, 0));
        referee.accept(LedgerRecord.endpointNotified(10, 1, 2, State.READY, 0));
      }
      for (int i = 1; i <= 14; i++) {
        referee.accept(LedgerRecord.operationStarted(10, i, 0, 1));
        referee.accept(LedgerRecord.requestAccepted(10, i, i, i % 2, 9_000, 0));
        referee.accept(LedgerRecord.attemptArrived(20 + i, i, i % 2, 2, 1_000));
        referee.accept(LedgerRecord.answered(100, i, Answer.DONE));
      }
      Verdict verdict = referee.verdict();
      assertEquals(
          isNotified ? 1 : 0, verdict.metrics().get("broken.cold"), "notified: " + isNotified);
    }
  }

  /**
   * A line cut off in the middle, a line that lacks a digit, a ledger without END, an empty one.
   */
  @Test
  void truncatedAndCorruptLedgersAreInvalid() throws Exception {
    Path file = dir.resolve("one.ledger");
    try (LedgerWriter writer = new LedgerWriter(file, true)) {
      writer.accept(LedgerRecord.clockReading(1_000, 3_000));
      writer.accept(LedgerRecord.operationStarted(3_100, 1, 0, 2.5));
      writer.accept(LedgerRecord.end(3_200));
    }
    assertEquals(
        List.of(LedgerRecord.operationStarted(1_100, 1, 0, 2.5), LedgerRecord.end(1_200)),
        Ledger.read(file));
    String complete = Files.readString(file);
    for (String invalid :
        List.of(
            complete.substring(0, complete.length() - 3),
            complete.replace("3100", "310"),
            complete.substring(0, complete.indexOf("END")),
            "")) {
      Files.writeString(file, invalid);
      assertThrows(InvalidLedgerException.class, () -> Ledger.read(file));
    }
  }

  /**
   * Two writers' clocks are 200 ms apart: records are ordered by the run's clock, not by the
   * writers' clocks.
   */
  @Test
  void recordsAreOrderedByTheRunsClock() throws Exception {
    Path ahead = dir.resolve("ahead.ledger");
    Path exact = dir.resolve("exact.ledger");
    try (LedgerWriter aheadWriter = new LedgerWriter(ahead, false);
        LedgerWriter exactWriter = new LedgerWriter(exact, false)) {
      aheadWriter.accept(LedgerRecord.clockReading(0, 2_000));
      aheadWriter.accept(LedgerRecord.attemptArrived(2_500, 1, 0, 2, 1));
      aheadWriter.accept(LedgerRecord.end(9_000));
      exactWriter.accept(LedgerRecord.answered(600, 1, Answer.DONE));
      exactWriter.accept(LedgerRecord.end(7_500));
    }
    assertEquals(
        List.of(500L, 600L, 7_000L, 7_500L),
        Ledger.merge(List.of(exact, ahead)).stream().map(LedgerRecord::at).toList());
  }
}
