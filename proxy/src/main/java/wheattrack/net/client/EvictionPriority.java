package wheattrack.net.client;

/**
 * How soon a client's connection is closed to make room for another, where all places are taken.
 * The constants stand in the order in which connections are evicted.
 */
enum EvictionPriority {
  /** Its request was rejected and its response is written; it only has to close. */
  LINGERING,
  /** It has been connected for a while and has never sent a byte of a request. */
  SILENT,
  /** It is between two requests. */
  IDLE,
  /** It takes longer with the head of a request than it may while others wait. */
  SLOW_HEAD,
  /** It is not evicted: a request of it is open or on its way. */
  NEVER
}
