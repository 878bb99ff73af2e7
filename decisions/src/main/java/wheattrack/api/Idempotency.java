package wheattrack.api;

/** Whether a request may run more than once. */
public enum Idempotency {
  /** May run any number of times. */
  IDEMPOTENT,
  /** May be repeated where and while its idempotency key is remembered. */
  IDEMPOTENT_WITH_KEY,
  /** Must never run twice. */
  NON_IDEMPOTENT
}
