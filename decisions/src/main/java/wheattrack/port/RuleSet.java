package wheattrack.port;

/** The settings of one rule set; times in tenths of a millisecond. */
public record RuleSet(
    int at,
    long target,
    long timeout,
    Effect effect,
    Group group,
    long window,
    double value,
    double overdue,
    boolean stream) {

  /** May it run twice: at will, where its mark is remembered, or never. */
  public enum Effect {
    REPLAYABLE,
    UNIQUED,
    NON_REPLAYABLE
  }

  /** Which backends remember a uniqued req's mark. */
  public enum Group {
    ALL,
    ZONE,
    CELL
  }
}
