package wheattrack.port;

/**
 * What the decision module may do to the world; whoever carries a protocol implements it. Backends
 * go by the dense index under which they were listed, reqs by their object, times in tenths of a
 * millisecond.
 */
public interface Port {
  /** What to do with the result of one dispatch. */
  interface Result {
    /** over: the req ended with this result or before it. lag: how long the dispatch was out. */
    void ended(Outcome how, long lag, boolean over);
  }

  /** What to do with the result of one probe; the load that came with it has been told before. */
  interface Heard {
    void ended(boolean ok, long lag);
  }

  /** The open req as the module left it; the port tells it what befalls the req. */
  interface Held {
    /** The answer has begun to stream: no time-out holds any more. */
    void streams(int leg);

    /** Nobody waits for the req any more. */
    void left();
  }

  /** The clock, which only goes forward and stands still within a call. */
  long now();

  /** Sends a copy of the req; tryFor 0 is until the client stops waiting. Copies number from 0. */
  void dispatch(Req req, int backend, long tryFor, Result next);

  void cancel(Req req, int leg);

  /** Final answer: a new try does no harm; wait 0 gives no advice. */
  void deny(Req req, long wait);

  /** Final answer that promises nothing. */
  void abort(Req req);

  void probe(int backend, Heard next);

  /** Closes the connections to it that carry nothing now. */
  void hangUp(int backend);

  void later(long delay, Runnable next);

  /** Asks the list for all changes from now on. */
  void follow();

  /** Asks for the whole list once. */
  void fetch();

  void log(String text);
}
