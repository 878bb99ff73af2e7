package wheattrack.port;

/**
 * One req as a client sent it; cost 0 means that it carried no hint, key 0 that it carried none.
 */
public final class Req {
  public final RuleSet ruleSet;
  public final int tenant;
  public final long key;

  /**
   * Times of its last byte and its client's patience; a long body moves them once, when it is
   * whole.
   */
  public long arrived, due;

  public final int cost;
  public final boolean again;

  /** For the port alone. */
  public final Object door;

  public Req(
      RuleSet ruleSet,
      int tenant,
      long key,
      long arrived,
      long due,
      int cost,
      boolean again,
      Object door) {
    this.ruleSet = ruleSet;
    this.tenant = tenant;
    this.key = key;
    this.arrived = arrived;
    this.due = due;
    this.cost = cost;
    this.again = again;
    this.door = door;
  }

  /** Its last byte has come now: all its time runs from here. */
  public void begins(long now) {
    due += now - arrived;
    arrived = now;
  }
}
