package wheattrack.api;

/**
 * An event that the policy reports to the operators.
 *
 * @param kind what happened
 * @param subject the id of the backend concerned; for events that concern no backend, a count
 * @param detail the cause, or what the count means
 */
public record PolicyEvent(Kind kind, long subject, String detail) {
  /** What happened. */
  public enum Kind {
    /** A listed backend is ignored, because {@link LoadBalancer#MAX_BACKENDS} are known already. */
    BACKEND_LEFT_OUT("left out"),
    /** A backend was ejected: it receives only probe requests. */
    BACKEND_EJECTED("shut"),
    /** An ejected backend was reinstated: it receives requests again. */
    BACKEND_REINSTATED("open"),
    /** The unit of the requests' cost hints has changed. */
    HINT_UNIT_CHANGED("hints moved"),
    /** Many requests were rejected within a second while no attempt was in flight. */
    REJECTED_WHILE_IDLE("denied");

    private final String logWord;

    Kind(String logWord) {
      this.logWord = logWord;
    }

    /** The word for this event in the log, which operators' scripts match. */
    public String logWord() {
      return logWord;
    }
  }

  /** Creates the event of an ejection, or of a reinstatement if {@code ejected} is false. */
  public static PolicyEvent ejection(boolean ejected, long backend, String cause) {
    return new PolicyEvent(
        ejected ? Kind.BACKEND_EJECTED : Kind.BACKEND_REINSTATED, backend, cause);
  }

  /** The event as one line of text. */
  public String text() {
    return kind.logWord() + " " + subject + ": " + detail;
  }
}
