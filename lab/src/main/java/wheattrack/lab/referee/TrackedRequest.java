package wheattrack.lab.referee;

import wheattrack.lab.referee.LedgerRecord.Answer;

/** A request that a proxy accepted, with what has become of it so far. */
final class TrackedRequest {
  private final long operation;
  private final int proxy;
  private final long deadline;
  private int answers;
  private Answer answer;
  private long answeredAt = Long.MAX_VALUE;
  private int executions;
  private int firstBackend = -1;
  private long firstArrivedAt;
  private boolean isDisconnected;
  private boolean isExcused;

  TrackedRequest(long operation, int proxy, long deadline) {
    this.operation = operation;
    this.proxy = proxy;
    this.deadline = deadline;
  }

  long operation() {
    return operation;
  }

  int proxy() {
    return proxy;
  }

  long deadline() {
    return deadline;
  }

  /** Counts a final answer; returns how many there were with it. */
  int countAnswer() {
    return ++answers;
  }

  /** Notes the first final answer. */
  void setAnswer(Answer first, long at) {
    answer = first;
    answeredAt = at;
  }

  boolean isAnswered() {
    return answers > 0;
  }

  /** The first final answer, or null. */
  Answer answer() {
    return answer;
  }

  /** The time after which nothing may be sent for it: the answer or the deadline, if earlier. */
  long closedAt() {
    return Math.min(answeredAt, deadline);
  }

  /** Counts an execution; returns how many there were with it. The first one's place is kept. */
  int countExecution(int backend, long arrivedAt) {
    executions++;
    if (executions == 1) {
      firstBackend = backend;
      firstArrivedAt = arrivedAt;
    }
    return executions;
  }

  boolean isExecuted() {
    return executions > 0;
  }

  /** The backend of the first execution. */
  int firstBackend() {
    return firstBackend;
  }

  /** When the attempt arrived that was executed first. */
  long firstArrivedAt() {
    return firstArrivedAt;
  }

  /** Whether the client closed its connection. */
  boolean isDisconnected() {
    return isDisconnected;
  }

  void markDisconnected() {
    isDisconnected = true;
  }

  /** Whether it need not be answered (any more): its proxy was killed, or its loss is counted. */
  boolean isExcused() {
    return isExcused;
  }

  void excuse() {
    isExcused = true;
  }
}
