package wheattrack.lab.referee;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Collects the violations of a run: counts all and describes the first ones of each rule. */
final class RuleViolations {
  /** Most violations of each rule that are described; further ones are only counted. */
  private static final int MAX_DESCRIBED = 20;

  private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
  private final List<RuleViolation> described = new ArrayList<>();

  RuleViolations() {
    for (Rule rule : Rule.values()) {
      counts.put(rule, 0);
    }
  }

  void add(Rule rule, long at, String description) {
    if (counts.merge(rule, 1, Integer::sum) <= MAX_DESCRIBED) {
      described.add(new RuleViolation(rule, at, description));
    }
  }

  /** Violations by rule, in the order of the rules. */
  Map<Rule, Integer> counts() {
    return counts;
  }

  /** The described violations in the order in which they were found. */
  List<RuleViolation> described() {
    return List.copyOf(described);
  }
}
