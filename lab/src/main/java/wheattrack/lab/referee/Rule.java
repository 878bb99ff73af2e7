package wheattrack.lab.referee;

/** The rules that a run is judged by, in the order of their metrics. */
public enum Rule {
  /** Each request has one final answer, by its deadline. */
  ANSWERS("answers"),
  /** No request has an effect that its class forbids. */
  EFFECTS("effects"),
  /** No attempt goes to a backend that is known to drain or to be gone. */
  DRAINS("drains"),
  /** No backend collapses while it warms up. */
  COLD("cold");

  private final String keyword;

  Rule(String keyword) {
    this.keyword = keyword;
  }

  /** The rule's name in metrics and reports. */
  @Override
  public String toString() {
    return keyword;
  }
}
