package wheattrack.net.backend;

import wheattrack.core.Fingerprint;
import wheattrack.core.NoReuseReason;
import wheattrack.http.Response;
import wheattrack.http.StatusCode;

/**
 * Decides whether a response on a connection belongs to the current request. A backend may send a
 * second copy of a response at any later time, also when the next request is already on its way to
 * it, so that neither the state of the connection nor time tells the copy from a response. Runs on
 * the event loop's thread only.
 *
 * <p>A copy of a response with the status 200 equals an earlier one on the same connection, all of
 * which are in its history. Rejections and errors are often equal, so that a copy of one could not
 * be told from the next. So a connection that has carried one carries only requests that may run
 * any number of times, to which a copy does no harm, and is closed with the second one: if that is
 * a copy, the response that follows belongs to the request before. The history holds no response
 * that is too long to be buffered, so the start of one whose length is known is no copy, though it
 * may equal a shorter response.
 */
final class ResponseMatcher {
  /** Which request a response belongs to. */
  enum Origin {
    CURRENT_REQUEST,
    EARLIER_REQUEST,
    /** It equals an earlier response, but the backend may respond so to both requests. */
    UNKNOWN
  }

  private final ResponseHistory history = new ResponseHistory();
  private boolean carriesProbes;

  /** The number of responses with another status than 200. */
  private int failures;

  /**
   * Whether the connection may carry the attempt. Probes have connections of their own, as their
   * responses often repeat.
   */
  boolean mayCarry(BackendAttempt attempt) {
    if (history.isEmpty() && !hasCarriedFailure()) {
      return true;
    }
    boolean isOfSameKind = attempt.isProbe() == carriesProbes;
    return isOfSameKind
        && !attempt.needsNewConnection()
        && (attempt.isIdempotent() || !hasCarriedFailure());
  }

  /** Whether the connection has carried a rejection or an error. */
  boolean hasCarriedFailure() {
    return failures > 0;
  }

  /** The connection carries this attempt from now on. */
  void onRequest(BackendAttempt attempt) {
    carriesProbes = attempt.isProbe();
  }

  /**
   * Which request a response belongs to that was received while the attempt is in flight. Must be
   * called once for each response.
   *
   * @param isComplete whether the response has its complete body
   */
  Origin originOf(Response response, BackendAttempt attempt, boolean isComplete) {
    if (response.status() != StatusCode.OK) {
      failures++;
      return Origin.CURRENT_REQUEST;
    }
    boolean isLongerThanEarlierOnes = !isComplete && response.remainingBody().hasKnownLength();
    if (isLongerThanEarlierOnes) {
      return Origin.CURRENT_REQUEST;
    }
    long fingerprint = Fingerprint.of(response.body());
    if (history.contains(fingerprint) && !attempt.isProbe()) {
      return originOfRepeated(attempt);
    }
    if (isComplete) {
      record(response, fingerprint, attempt);
    }
    return Origin.CURRENT_REQUEST;
  }

  private static Origin originOfRepeated(BackendAttempt attempt) {
    return switch (attempt.responseVariety().kind()) {
      case DISTINCT -> Origin.EARLIER_REQUEST;
      case REPEATING -> attempt.isNonIdempotent() ? Origin.UNKNOWN : Origin.CURRENT_REQUEST;
      case UNKNOWN -> Origin.UNKNOWN;
    };
  }

  private void record(Response response, long fingerprint, BackendAttempt attempt) {
    history.add(response, fingerprint);
    if (attempt.isResponseAwaited()) {
      attempt.responseVariety().record(fingerprint);
    }
  }

  /**
   * Whether a response of unknown length that has begun like this may be a copy.
   *
   * @param startOfBody at least the first {@link ResponseHistory#PREFIX_BYTES} bytes of its body,
   *     or all of them that were received
   */
  boolean mayBeCopy(byte[] startOfBody) {
    return history.mayContainStart(startOfBody);
  }

  /** Why the connection must carry no further request after this response; null: it may. */
  NoReuseReason reasonAgainstReuse(Response response, boolean isComplete) {
    boolean isFirstFailure = failures == 1 && StatusCode.isServerError(response.status());
    boolean isCopyHarmless = isFirstFailure && !carriesProbes;
    if (response.status() != StatusCode.OK && !isCopyHarmless) {
      return NoReuseReason.STATUS;
    }
    if (!isComplete) {
      return NoReuseReason.LONG_RESPONSE;
    }
    return history.isFull() ? NoReuseReason.HISTORY_FULL : null;
  }
}
