package wheattrack.port;

/** One req as a client sent it; cost 0 means that it carried no hint, key 0 that it carried none. */
public final class Req {
    public final RuleSet ruleSet;
    public final int tenant;
    public final long key;
    public final long arrived;
    public final long due;
    public final int cost;
    public final boolean again;
    /** For the port alone. */
    public final Object door;

    public Req(RuleSet ruleSet, int tenant, long key, long arrived, long due, int cost, boolean again,
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
}
