package wheattrack.lab.referee;

/**
 * One line of the ledger, written by a stand-in or a client, never by a proxy. What the fields mean
 * depends on the kind; at is in tenths of a millisecond from the start of the run, by the writer's
 * clock.
 */
public record LedgerRecord(
    Kind kind, long at, long req, int proxy, int server, long time, double figure, int code) {
  /** Which fields each kind uses, in the words of its factory. */
  public enum Kind {
    ASKED,
    TAKEN,
    ANSWERED,
    LEFT,
    CAME,
    RAN,
    TOLD,
    STARTED,
    FELL,
    PROXY,
    FAULT,
    CLOCK,
    END
  }

  /** Final answers; BROKEN is a connection that ended without one. */
  public enum Answer {
    DONE,
    DENIED,
    ABORTED,
    BROKEN
  }

  /** What the list says of a server. */
  public enum State {
    READY,
    DRAINING,
    GONE
  }

  private static final Answer[] ANSWERS = Answer.values();
  private static final State[] STATES = State.values();

  /**
   * A client wants something of a rule set (code) and value; it may take several tries, each a req.
   */
  public static LedgerRecord asked(long at, long op, int set, double value) {
    return new LedgerRecord(Kind.ASKED, at, op, -1, -1, 0, value, set);
  }

  /** A try's last byte was written to a connection that the proxy's machine accepted. */
  public static LedgerRecord taken(long at, long req, long op, int proxy, long due, int set) {
    return new LedgerRecord(Kind.TAKEN, at, req, proxy, -1, due, op, set);
  }

  /** A final answer's last byte has come, or the connection ended without one. */
  public static LedgerRecord answered(long at, long req, Answer how) {
    return new LedgerRecord(Kind.ANSWERED, at, req, -1, -1, 0, 0, how.ordinal());
  }

  /** The client hung up before it had an answer. */
  public static LedgerRecord left(long at, long req) {
    return new LedgerRecord(Kind.LEFT, at, req, -1, -1, 0, 0, 0);
  }

  /** The first byte of a dispatch reached a server's machine; work: what it asks for. */
  public static LedgerRecord came(long at, long req, int proxy, int server, double work) {
    return new LedgerRecord(Kind.CAME, at, req, proxy, server, 0, work, 0);
  }

  /**
   * A server began the work of a dispatch that came at that time: from here on it has had an
   * effect.
   */
  public static LedgerRecord ran(long at, long req, int proxy, int server, long came, double work) {
    return new LedgerRecord(Kind.RAN, at, req, proxy, server, came, work, 0);
  }

  /** The list has told a proxy of a server's state and last start. */
  public static LedgerRecord told(long at, int proxy, int server, State state, long start) {
    return new LedgerRecord(Kind.TOLD, at, 0, proxy, server, start, 0, state.ordinal());
  }

  /** A server started; capacity: work a unit of time once it is warm. */
  public static LedgerRecord started(long at, int server, double capacity, boolean cold) {
    return new LedgerRecord(Kind.STARTED, at, 0, -1, server, 0, capacity, cold ? 1 : 0);
  }

  /** A cold server fell over. */
  public static LedgerRecord fell(long at, int server) {
    return new LedgerRecord(Kind.FELL, at, 0, -1, server, 0, 0, 0);
  }

  /** A proxy's process is up, or was killed. */
  public static LedgerRecord proxy(long at, int proxy, boolean up) {
    return new LedgerRecord(Kind.PROXY, at, 0, proxy, -1, 0, 0, up ? 1 : 0);
  }

  /** A fault of the timeline begins (code 1) or ends (0); place: its number in the scenario. */
  public static LedgerRecord fault(long at, int place, boolean begins) {
    return new LedgerRecord(Kind.FAULT, at, 0, -1, -1, place, 0, begins ? 1 : 0);
  }

  /**
   * By the conductor's clock it is at while the writer's shows time: what follows is put right by
   * that.
   */
  public static LedgerRecord clock(long at, long writers) {
    return new LedgerRecord(Kind.CLOCK, at, 0, -1, -1, writers, 0, 0);
  }

  /** The writer's last line; a ledger without it was cut off. */
  public static LedgerRecord end(long at) {
    return new LedgerRecord(Kind.END, at, 0, -1, -1, 0, 0, 0);
  }

  public Answer answer() {
    return ANSWERS[code];
  }

  public State state() {
    return STATES[code];
  }

  /** The same by another clock. */
  LedgerRecord shifted(long by) {
    return new LedgerRecord(
        kind,
        at + by,
        req,
        proxy,
        server,
        kind == Kind.TAKEN || kind == Kind.RAN || kind == Kind.TOLD ? time + by : time,
        figure,
        code);
  }
}
