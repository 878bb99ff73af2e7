package wheattrack.api;

/**
 * The settings of one class of requests. Times are in tenths of a millisecond.
 *
 * @param index position of the class in the settings
 * @param latencyObjective time from arrival within which an answer has its full weight
 * @param clientTimeout how long a client waits for its answer
 * @param idempotency whether a request may run more than once
 * @param deduplicationScope which backends recognize a repeated idempotency key
 * @param deduplicationWindow how long they recognize it after the first attempt was sent
 * @param priorityWeight weight of an answer within the objective, for a request of mean cost
 * @param lateWeight weight of an answer after the objective, for a request of mean cost
 * @param streaming whether answers are streamed
 */
public record RequestClass(
    int index,
    long latencyObjective,
    long clientTimeout,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long deduplicationWindow,
    double priorityWeight,
    double lateWeight,
    boolean streaming) {

  /** Whether a request may run any number of times. */
  public boolean isIdempotent() {
    return idempotency == Idempotency.IDEMPOTENT;
  }

  /** Whether a request that may have run must never be sent again. */
  public boolean isNonIdempotent() {
    return idempotency == Idempotency.NON_IDEMPOTENT;
  }

  /**
   * Whether a client may retry a request that may have run. Its retry can reach any backend, so a
   * narrower deduplication scope does not suffice.
   */
  public boolean isClientRetrySafe() {
    return idempotency == Idempotency.IDEMPOTENT
        || (idempotency == Idempotency.IDEMPOTENT_WITH_KEY
            && deduplicationScope == DeduplicationScope.ALL);
  }

  /**
   * Whether a repeat of a request that may have run has no second effect.
   *
   * @param elapsed time since the earlier attempt was sent, in tenths of a millisecond
   * @param sameZone whether the repeat goes to the same zone as the earlier attempt
   * @param sameCell whether it goes to the same cell as the earlier attempt
   */
  public boolean isRepeatSafe(long elapsed, boolean sameZone, boolean sameCell) {
    if (idempotency != Idempotency.IDEMPOTENT_WITH_KEY) {
      return idempotency == Idempotency.IDEMPOTENT;
    }
    return elapsed < deduplicationWindow
        && (deduplicationScope != DeduplicationScope.ZONE || sameZone)
        && (deduplicationScope != DeduplicationScope.CELL || sameCell);
  }
}
