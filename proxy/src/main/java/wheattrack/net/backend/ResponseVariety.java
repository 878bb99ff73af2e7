package wheattrack.net.backend;

/**
 * Whether backends give the same response to different requests of one class. Where they do not,
 * the same response again on one connection is a second copy. Runs on the event loop's thread only.
 */
public final class ResponseVariety {
  /** What is known of the responses. */
  enum Kind {
    /** There were too few responses to tell. */
    UNKNOWN,
    /** All responses have differed. */
    DISTINCT,
    /** Different requests have received the same response on different connections. */
    REPEATING
  }

  /** After this many responses that all differ, the responses of a class count as distinct. */
  private static final int MIN_DISTINCT_RESPONSES = 8;

  private final RecentResponses recentResponses;
  private int distinctResponses;
  private boolean hasRepetition;

  ResponseVariety(RecentResponses recentResponses) {
    this.recentResponses = recentResponses;
  }

  /** Records a response that a client receives and that cannot be a second copy. */
  void record(long fingerprint) {
    hasRepetition |= recentResponses.record(fingerprint);
    distinctResponses = Math.min(MIN_DISTINCT_RESPONSES, distinctResponses + 1);
  }

  Kind kind() {
    if (hasRepetition) {
      return Kind.REPEATING;
    }
    return distinctResponses >= MIN_DISTINCT_RESPONSES ? Kind.DISTINCT : Kind.UNKNOWN;
  }

  /**
   * Whether a request must not use a connection that has carried a response, as a second copy of
   * that response could not be told from its own, and could not be made good by a retry.
   */
  public boolean requiresNewConnection(boolean isNonIdempotent) {
    return switch (kind()) {
      case DISTINCT -> false;
      case REPEATING -> isNonIdempotent;
      case UNKNOWN -> isNonIdempotent || !recentResponses.areDistinct();
    };
  }
}
