package wheattrack.lab.referee;

/**
 * One line of the ledger, written by a stand-in or a client, never by a proxy. What the fields mean
 * depends on the kind; at is in tenths of a millisecond from the start of the run, by the writer's
 * clock.
 */
public record Entry(
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
  public static Entry asked(long at, long op, int set, double value) {
    return new Entry(Kind.ASKED, at, op, -1, -1, 0, value, set);
  }

  /** A try's last byte was written to a connection that the proxy's machine accepted. */
  public static Entry taken(long at, long req, long op, int proxy, long due, int set) {
    return new Entry(Kind.TAKEN, at, req, proxy, -1, due, op, set);
  }

  /** A final answer's last byte has come, or the connection ended without one. */
  public static Entry answered(long at, long req, Answer how) {
    return new Entry(Kind.ANSWERED, at, req, -1, -1, 0, 0, how.ordinal());
  }

  /** The client hung up before it had an answer. */
  public static Entry left(long at, long req) {
    return new Entry(Kind.LEFT, at, req, -1, -1, 0, 0, 0);
  }

  /** The first byte of a dispatch reached a server's machine; work: what it asks for. */
  public static Entry came(long at, long req, int proxy, int server, double work) {
    return new Entry(Kind.CAME, at, req, proxy, server, 0, work, 0);
  }

  /**
   * A server began the work of a dispatch that came at that time: from here on it has had an
   * effect.
   */
  public static Entry ran(long at, long req, int proxy, int server, long came, double work) {
    return new Entry(Kind.RAN, at, req, proxy, server, came, work, 0);
  }

  /** The list has told a proxy of a server's state and last start. */
  public static Entry told(long at, int proxy, int server, State state, long start) {
    return new Entry(Kind.TOLD, at, 0, proxy, server, start, 0, state.ordinal());
  }

  /** A server started; capacity: work a unit of time once it is warm. */
  public static Entry started(long at, int server, double capacity, boolean cold) {
    return new Entry(Kind.STARTED, at, 0, -1, server, 0, capacity, cold ? 1 : 0);
  }

  /** A cold server fell over. */
  public static Entry fell(long at, int server) {
    return new Entry(Kind.FELL, at, 0, -1, server, 0, 0, 0);
  }

  /** A proxy's process is up, or was killed. */
  public static Entry proxy(long at, int proxy, boolean up) {
    return new Entry(Kind.PROXY, at, 0, proxy, -1, 0, 0, up ? 1 : 0);
  }

  /** A fault of the timeline begins (code 1) or ends (0); place: its number in the scenario. */
  public static Entry fault(long at, int place, boolean begins) {
    return new Entry(Kind.FAULT, at, 0, -1, -1, place, 0, begins ? 1 : 0);
  }

  /**
   * By the conductor's clock it is at while the writer's shows time: what follows is put right by
   * that.
   */
  public static Entry clock(long at, long writers) {
    return new Entry(Kind.CLOCK, at, 0, -1, -1, writers, 0, 0);
  }

  /** The writer's last line; a ledger without it was cut off. */
  public static Entry end(long at) {
    return new Entry(Kind.END, at, 0, -1, -1, 0, 0, 0);
  }

  public Answer answer() {
    return ANSWERS[code];
  }

  public State state() {
    return STATES[code];
  }

  /** The same by another clock. */
  Entry shifted(long by) {
    return new Entry(
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
