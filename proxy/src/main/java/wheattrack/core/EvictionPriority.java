package wheattrack.core;

/**
 * How soon a client's connection is closed to make room for another when the limit is reached. The
 * constants stand in the order in which connections are evicted.
 */
public enum EvictionPriority {
  /** Its request was rejected and its response is written; it only has to close. */
  LINGERING,
  /** It has been connected for a while and has never sent a byte of a request. */
  SILENT,
  /** It is between two requests. */
  IDLE,
  /** Its client takes longer to send the head of a request than is allowed while others wait. */
  SLOW_HEAD,
  /** It is not evicted: a request is open on it or being received, or is to be expected at once. */
  NEVER
}
