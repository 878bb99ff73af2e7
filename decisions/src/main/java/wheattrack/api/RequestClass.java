package wheattrack.api;

/**
 * The settings of one class of requests. Times are in tenths of a millisecond.
 *
 * @param index position of the class in the settings
 * @param latencyObjective time within which an answer earns its full weight
 * @param clientTimeout how long a client waits for its answer
 * @param idempotency whether a request may run more than once
 * @param deduplicationScope which backends recognize a repeated idempotency key
 * @param deduplicationWindow how long they recognize it after the first attempt
 * @param priorityWeight worth of an answer within the objective, for a mean request's cost
 * @param lateWeight worth of an answer after the objective
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
    boolean streaming) {}
