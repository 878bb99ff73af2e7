package wheattrack.api;

/** The backends that share one memory of idempotency keys. */
public enum DeduplicationScope {
  /** All backends. */
  ALL,
  /** The backends of one zone. */
  ZONE,
  /** The backends of one cell. */
  CELL
}
