package wheattrack.core;

/**
 * What a connection's memory is used for, which decides how it can be given up when too much memory
 * is in use.
 */
public enum MemoryUse {
  /** A request that has not been received completely; it can be rejected. */
  INCOMPLETE_REQUEST(0),

  /** A part of a long request body, of which the client owes more; the request can be rejected. */
  INCOMPLETE_BODY(MemoryUse.SLOW_PEER_ALLOWANCE),

  /** Bytes that a client has sent beyond its open request; they can be dropped. */
  READ_AHEAD(0),

  /** A response, or a part of one, that the client does not read; its connection can be closed. */
  UNREAD_RESPONSE(MemoryUse.SLOW_PEER_ALLOWANCE),

  /** The connection has its last response and waits for the client's close; it can be closed. */
  CLOSING(0),

  /** A request, or a part of one, that the backend does not read; its attempt can be ended. */
  UNREAD_REQUEST(MemoryUse.SLOW_PEER_ALLOWANCE),

  /** A response, or a part of one, of which the backend owes more; its attempt can be ended. */
  INCOMPLETE_RESPONSE(MemoryUse.SLOW_PEER_ALLOWANCE),

  /** The memory is needed, and no peer delays its release: nothing can be given up. */
  NEEDED(0);

  /**
   * How long a peer may pause within a long transfer without being taken for stalled, in tenths of
   * a millisecond.
   */
  private static final long SLOW_PEER_ALLOWANCE = 30_000;

  private final long allowance;

  MemoryUse(long allowance) {
    this.allowance = allowance;
  }

  /** How long the use counts as usual, in tenths of a millisecond. */
  long allowance() {
    return allowance;
  }
}
