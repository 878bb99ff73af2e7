package wheattrack.lab.referee;

/**
 * A violation of a rule.
 *
 * @param at when, in tenths of a millisecond from the start of the run
 * @param description what happened, with the ids of the request, proxy or backend concerned
 */
public record RuleViolation(Rule rule, long at, String description) {}
