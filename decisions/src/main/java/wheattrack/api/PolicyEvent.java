package wheattrack.api;

/**
 * An event that the policy reports to the operators.
 *
 * @param kind what happened
 * @param subject the id of the backend concerned, or the number that the event is about
 * @param detail the cause, or the meaning of the number
 */
public record PolicyEvent(Kind kind, long subject, String detail) {
  /** The kinds of events. */
  public enum Kind {
    /** A listed backend is ignored, as the policy's tables are full. */
    BACKEND_LEFT_OUT("left out"),
    /** A backend was ejected: it receives only probe requests. */
    BACKEND_EJECTED("shut"),
    /** An ejected backend was reinstated: it receives requests again. */
    BACKEND_REINSTATED("open"),
    /** The cost hints of requests have changed their unit. */
    HINT_UNIT_CHANGED("hints moved"),
    /** Many requests were rejected within a second while no attempt was in flight. */
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

  /** Creates the event of an ejection or reinstatement. */
  public static PolicyEvent ejection(boolean ejected, long backend, String cause) {
    return new PolicyEvent(
        ejected ? Kind.BACKEND_EJECTED : Kind.BACKEND_REINSTATED, backend, cause);
  }

  /** The event as one line of text. */
  public String text() {
    return kind.logWord() + " " + subject + ": " + detail;
  }
}
