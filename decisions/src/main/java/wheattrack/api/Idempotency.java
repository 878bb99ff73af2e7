package wheattrack.api;

/** Whether a request may run more than once. */
public enum Idempotency {
  /** A request may run any number of times. */
  IDEMPOTENT,
  /**
   * A request may be repeated on backends that recognize its idempotency key, for as long as they
   * keep the key.
   */
  IDEMPOTENT_WITH_KEY,
  /** A request must never run twice. */
  NON_IDEMPOTENT
}
