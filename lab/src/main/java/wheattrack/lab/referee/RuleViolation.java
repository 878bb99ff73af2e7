package wheattrack.lab.referee;

/** A violation of a rule: when, in tenths of a millisecond of the run, and by whom and how. */
public record RuleViolation(Rule rule, long at, String description) {}
