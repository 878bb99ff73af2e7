package wheattrack.lab.referee;

/**
 * One line of the ledger, written by a simulated backend, a client or the run itself, never by a
 * proxy. The factory of each kind names the fields it uses; the typed accessors ({@link
 * #operation}, {@link #deadline}, {@link #work}, ...) read them back. The plain components are the
 * columns of the line.
 *
 * @param kind what happened
 * @param at when, in tenths of a millisecond from the start of the run, by the writer's clock
 * @param request the request's id, or the operation's for {@link Kind#OPERATION_STARTED}; else 0
 * @param proxy the proxy's index, or -1
 * @param backend the backend's index, or -1
 * @param time a second time or number whose meaning depends on the kind
 * @param amount a quantity whose meaning depends on the kind
 * @param code an enum's ordinal, a flag or a request class's index, depending on the kind
 */
public record LedgerRecord(
    Kind kind, long at, long request, int proxy, int backend, long time, double amount, int code) {
  /** What happened. Each kind has a keyword of its own in the lines of the ledger. */
  public enum Kind {
    OPERATION_STARTED("ASKED"),
    REQUEST_ACCEPTED("TAKEN"),
    ANSWERED("ANSWERED"),
    CLIENT_DISCONNECTED("LEFT"),
    ATTEMPT_ARRIVED("CAME"),
    EXECUTION_STARTED("RAN"),
    ENDPOINT_NOTIFIED("TOLD"),
    BACKEND_STARTED("STARTED"),
    BACKEND_COLLAPSED("FELL"),
    PROXY_CHANGED("PROXY"),
    FAULT_CHANGED("FAULT"),
    CLOCK("CLOCK"),
    END("END");

    private final String keyword;

    Kind(String keyword) {
      this.keyword = keyword;
    }

    /** The first field of the lines of this kind. */
    String keyword() {
      return keyword;
    }

    /** The kind of this keyword; throws IllegalArgumentException if there is none. */
    static Kind of(String keyword) {
      for (Kind kind : values()) {
        if (kind.keyword.equals(keyword)) {
          return kind;
        }
      }
      throw new IllegalArgumentException("unknown keyword " + keyword);
    }
  }

  /** Final answers; the ledger holds the ordinal, so the order is fixed. */
  public enum Answer {
    DONE,
    REJECTED,
    FAILED,
    /** The connection ended without an answer. */
    CONNECTION_LOST
  }

  /**
   * A backend's state in the endpoint list; the ledger holds the ordinal, so the order is fixed.
   */
  public enum State {
    READY,
    DRAINING,
    GONE
  }

  private static final int NONE = -1;
  private static final Answer[] ANSWERS = Answer.values();
  private static final State[] STATES = State.values();

  /**
   * A client starts an operation of a request class that is worth this value. It may take several
   * requests, the client's own retries included.
   */
  public static LedgerRecord operationStarted(
      long at, long operation, int requestClass, double value) {
    return new LedgerRecord(
        Kind.OPERATION_STARTED, at, operation, NONE, NONE, 0, value, requestClass);
  }

  /** A request's last byte was written to a connection that the proxy's machine had accepted. */
  public static LedgerRecord requestAccepted(
      long at, long request, long operation, int proxy, long deadline, int requestClass) {
    return new LedgerRecord(
        Kind.REQUEST_ACCEPTED, at, request, proxy, NONE, deadline, operation, requestClass);
  }

  /** A client received a final answer's last byte, or its connection ended without an answer. */
  public static LedgerRecord answered(long at, long request, Answer answer) {
    return new LedgerRecord(Kind.ANSWERED, at, request, NONE, NONE, 0, 0, answer.ordinal());
  }

  /** The client closed its connection before it had an answer. */
  public static LedgerRecord clientDisconnected(long at, long request) {
    return new LedgerRecord(Kind.CLIENT_DISCONNECTED, at, request, NONE, NONE, 0, 0, 0);
  }

  /**
   * The first byte of an attempt reached a backend's machine; work: the work that the request
   * needs.
   */
  public static LedgerRecord attemptArrived(
      long at, long request, int proxy, int backend, double work) {
    return new LedgerRecord(Kind.ATTEMPT_ARRIVED, at, request, proxy, backend, 0, work, 0);
  }

  /**
   * A backend began to execute an attempt that had arrived at arrivedAt; from this record on the
   * request counts as executed.
   */
  public static LedgerRecord executionStarted(
      long at, long request, int proxy, int backend, long arrivedAt, double work) {
    return new LedgerRecord(
        Kind.EXECUTION_STARTED, at, request, proxy, backend, arrivedAt, work, 0);
  }

  /** A proxy was notified of a backend's state and of when it last started. */
  public static LedgerRecord endpointNotified(
      long at, int proxy, int backend, State state, long startedAt) {
    return new LedgerRecord(
        Kind.ENDPOINT_NOTIFIED, at, 0, proxy, backend, startedAt, 0, state.ordinal());
  }

  /** A backend started; capacity: work per unit of time once it is warm. */
  public static LedgerRecord backendStarted(long at, int backend, double capacity, boolean isCold) {
    return new LedgerRecord(
        Kind.BACKEND_STARTED, at, 0, NONE, backend, 0, capacity, isCold ? 1 : 0);
  }

  /** A backend that was still warming up collapsed under its load. */
  public static LedgerRecord backendCollapsed(long at, int backend) {
    return new LedgerRecord(Kind.BACKEND_COLLAPSED, at, 0, NONE, backend, 0, 0, 0);
  }

  /** A proxy's process is up, or was killed. */
  public static LedgerRecord proxyChanged(long at, int proxy, boolean isUp) {
    return new LedgerRecord(Kind.PROXY_CHANGED, at, 0, proxy, NONE, 0, 0, isUp ? 1 : 0);
  }

  /** A fault of the timeline begins or ends; faultIndex: its index in the scenario. */
  public static LedgerRecord faultChanged(long at, int faultIndex, boolean isBeginning) {
    return new LedgerRecord(
        Kind.FAULT_CHANGED, at, 0, NONE, NONE, faultIndex, 0, isBeginning ? 1 : 0);
  }

  /**
   * The run's clock showed {@code at} when the writer's clock showed {@code writerTime}: the times
   * of the writer's later lines are corrected by the difference.
   */
  public static LedgerRecord clockReading(long at, long writerTime) {
    return new LedgerRecord(Kind.CLOCK, at, 0, NONE, NONE, writerTime, 0, 0);
  }

  /** The writer's last line; a ledger without it is truncated. */
  public static LedgerRecord end(long at) {
    return new LedgerRecord(Kind.END, at, 0, NONE, NONE, 0, 0, 0);
  }

  /** Id of the operation that a client started, or that an accepted request belongs to. */
  public long operation() {
    return kind == Kind.OPERATION_STARTED ? request : (long) amount;
  }

  /** Index of the request class of an operation or an accepted request. */
  public int requestClass() {
    return code;
  }

  /** The value of an operation. */
  public double value() {
    return amount;
  }

  /** The time by which an accepted request has to be answered. */
  public long deadline() {
    return time;
  }

  /** The final answer. */
  public Answer answer() {
    return ANSWERS[code];
  }

  /** The work of an attempt, as it arrives or is executed. */
  public double work() {
    return amount;
  }

  /** The time at which the executed attempt had arrived. */
  public long arrivedAt() {
    return time;
  }

  /** The state that a proxy was notified of. */
  public State state() {
    return STATES[code];
  }

  /** When the backend that a proxy was notified of had last started. */
  public long startedAt() {
    return time;
  }

  /** The work per unit of time that a started backend can do once it is warm. */
  public double capacity() {
    return amount;
  }

  /** Whether a started backend is cold. */
  public boolean isCold() {
    return code == 1;
  }

  /** Whether a proxy was started, rather than killed. */
  public boolean isUp() {
    return code == 1;
  }

  /** Whether a fault begins, rather than ends. */
  public boolean isBeginning() {
    return code == 1;
  }

  /** The index in the scenario of a fault that begins or ends. */
  public int faultIndex() {
    return (int) time;
  }

  /** What the writer's clock showed at a {@link Kind#CLOCK} line. */
  long writerTime() {
    return time;
  }

  /** The same record with its times moved forward by this offset. */
  LedgerRecord shifted(long offset) {
    boolean hasSecondTime =
        kind == Kind.REQUEST_ACCEPTED
            || kind == Kind.EXECUTION_STARTED
            || kind == Kind.ENDPOINT_NOTIFIED;
    return new LedgerRecord(
        kind,
        at + offset,
        request,
        proxy,
        backend,
        hasSecondTime ? time + offset : time,
        amount,
        code);
  }
}
