package wheattrack.lab.referee;

import wheattrack.lab.referee.LedgerRecord.Answer;

/** A request that a proxy accepted, with its answers and executions so far. */
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
  private boolean isAnswerWaived;

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

  /** Counts a final answer; returns the number of answers, this one included. */
  int countAnswer() {
    return ++answers;
  }

  /** Records the first final answer. */
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

  /**
   * The time after which no attempt may be sent: that of the answer or the deadline, the earlier.
   */
  long closedAt() {
    return Math.min(answeredAt, deadline);
  }

  /**
   * Counts an execution; returns the number of executions, this one included. The backend and the
   * arrival of the first one are recorded.
   */
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

  /** The time at which the attempt that was executed first had arrived. */
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

  /**
   * Whether a missing answer is no (further) loss: its proxy was killed, or its connection ended.
   */
  boolean isAnswerWaived() {
    return isAnswerWaived;
  }

  void waiveAnswer() {
    isAnswerWaived = true;
  }
}
