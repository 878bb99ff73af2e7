package wheattrack.api;

/**
 * Something that operators should know, reported by the policy.
 *
 * @param kind what happened
 * @param subject the id of the backend that it happened to, or the figure that it is about
 * @param detail the cause, or what the figure means
 */
public record PolicyEvent(Kind kind, long subject, String detail) {
  /** What can happen. */
  public enum Kind {
    /** A backend of the list has no place in the policy's tables. */
    BACKEND_LEFT_OUT("left out"),
    /** A backend gets no requests but probes. */
    BACKEND_EJECTED("shut"),
    /** An ejected backend gets requests again. */
    BACKEND_REINSTATED("open"),
    /** Cost hints have changed their unit. */
    HINT_UNIT_CHANGED("hints moved"),
    /** Many requests were rejected while no attempt was in flight. */
    REJECTED_WHILE_IDLE("denied");

    private final String logWord;

    Kind(String logWord) {
      this.logWord = logWord;
    }

    /** The stable word for this event in the log. */
    public String logWord() {
      return logWord;
    }
  }

  /** A backend was ejected, or reinstated. */
  public static PolicyEvent ejection(boolean ejected, long backend, String cause) {
    return new PolicyEvent(
        ejected ? Kind.BACKEND_EJECTED : Kind.BACKEND_REINSTATED, backend, cause);
  }

  /** The event as one line of text. */
  public String text() {
    return kind.logWord() + " " + subject + ": " + detail;
  }
}
