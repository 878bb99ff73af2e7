package wheattrack.lab.referee;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import wheattrack.lab.referee.LedgerRecord.Answer;

/** Counts of one proxy's requests, answers and attempts in a run. */
public final class ProxyTotals {
  private int accepted;
  private final Map<Answer, Integer> answers = new EnumMap<>(Answer.class);
  private final Map<Integer, Integer> attemptsByBackend = new TreeMap<>();

  void countAccepted() {
    accepted++;
  }

  void countAnswer(Answer answer) {
    answers.merge(answer, 1, Integer::sum);
  }

  void countAttempt(int backend) {
    attemptsByBackend.merge(backend, 1, Integer::sum);
  }

  /** Requests accepted. */
  public int accepted() {
    return accepted;
  }

  /** Requests that ended in this way. */
  public int answers(Answer answer) {
    return answers.getOrDefault(answer, 0);
  }

  /** Attempts by the backend's index, in the order of the indexes. */
  public Map<Integer, Integer> attemptsByBackend() {
    return Collections.unmodifiableMap(attemptsByBackend);
  }
}
