package wheattrack.api;

/**
 * One entry of the endpoint list: a backend as discovery describes it.
 *
 * @param index its index, counted from 0 without gaps and kept for as long as it is listed
 * @param id its unique id; the policy orders backends by it
 * @param ready whether it accepts new requests, that is, is not draining
 * @param zone the index of its zone
 * @param cell the number of its cell; the backends of a cell share one store of idempotency keys
 * @param kind the index of its hardware or build kind; backends of one kind are assumed to be
 *     equally fast
 * @param weight its advertised capacity; values outside (0, 1e9) count as 1
 * @param startedAt when it started, in tenths of a millisecond
 * @param newlyListed whether the previous list did not contain it
 */
public record EndpointUpdate(
    int index,
    long id,
    boolean ready,
    int zone,
    int cell,
    int kind,
    double weight,
    long startedAt,
    boolean newlyListed) {}
