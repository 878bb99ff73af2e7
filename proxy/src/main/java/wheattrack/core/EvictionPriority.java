package wheattrack.core;

/**
 * How soon a client's connection is closed to make room for another when the limit is reached. The
 * constants stand in the order in which connections are evicted.
 */
public enum EvictionPriority {
  /** Its request was rejected and the response has been written; it only waits to be closed. */
  LINGERING,
  /** It has been connected for a while and has never sent a byte of a request. */
  SILENT,
  /** It is between two requests. */
  IDLE,
  /** Its client has exceeded the time to send a request head that applies while others wait. */
  SLOW_HEAD,
  /** It is not evicted: a request is open on it, is being received, or is expected shortly. */
  NEVER
}
