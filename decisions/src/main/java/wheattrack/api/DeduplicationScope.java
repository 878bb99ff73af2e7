package wheattrack.api;

/** Which backends share one store of idempotency keys, and so recognize each other's. */
public enum DeduplicationScope {
  /** All backends. */
  ALL,
  /** The backends of one zone. */
  ZONE,
  /** The backends of one cell. */
  CELL
}
