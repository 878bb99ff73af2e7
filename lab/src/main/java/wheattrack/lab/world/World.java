package wheattrack.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wheattrack.core.Deadlines;
import wheattrack.lab.load.Draws;
import wheattrack.lab.referee.Entry;
import wheattrack.lab.scenario.Scenario;

/**
 * A whole deployment in one thread under a virtual clock: proxies that decide by the module itself, servers,
 * list, links, front and clients. The same scenario, seed and policy give the same entries on any machine.
 * Times are tenths of a millisecond from the start of the run.
 */
public final class World {
    /** What a proxy's clock shows at the start of the run. */
    static final long EPOCH = 1_000_000;
    private static final long AFTER = 4 * Scenario.SECOND;

    final Scenario scenario;
    final Draws links;
    final Crowd crowd;
    final Roster roster;
    final boolean guarded;
    private final List<Machine> machines = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Consumer<Entry> ledger;
    private final Deadlines agenda = new Deadlines();
    private final long seed;
    private long now;
    private long steps;

    public World(Scenario scenario, long seed, Minds.Policy policy, Consumer<Entry> ledger) {
        this(scenario, seed, Minds.of(policy, scenario), true, ledger);
    }

    /** guarded: proxies abort what stands open past its due, as those on sockets do. */
    World(Scenario scenario, long seed, Mind.Maker maker, boolean guarded, Consumer<Entry> ledger) {
        this.scenario = scenario;
        this.guarded = guarded;
        this.seed = seed;
        this.ledger = ledger;
        links = draws("links");
        for (int i = 0; i < scenario.serverCount(); i++) {
            machines.add(new Machine(this, i, scenario.kindOf(i)));
        }
        roster = new Roster(this);
        Draws seeds = draws("proxies");
        for (int i = 0; i < scenario.proxies; i++) {
            nodes.add(new Node(this, i, maker, seeds.seed()));
        }
        crowd = new Crowd(this);
    }

    Draws draws(String part) {
        return new Draws(seed, part);
    }

    /** Plays the whole run. */
    public void run() {
        machines.forEach(m -> m.start(false));
        nodes.forEach(Node::start);
        nodes.forEach(node -> crowd.sees(node, true));
        Timeline.schedule(this);
        crowd.open();
        long longest = scenario.sets.stream().mapToLong(s -> s.rules().timeout()).max().orElse(0);
        long end = scenario.length + longest + AFTER;
        for (Runnable next = null; agenda.first() <= end; ) {
            now = Math.max(now, agenda.first());
            next = agenda.due(now);
            steps++;
            next.run();
        }
        now = end;
        say(Entry.end(now));
    }

    /** Steps of the world so far, for measurements. */
    public long steps() {
        return steps;
    }

    long now() {
        return now;
    }

    Deadlines.Entry after(long delay, Runnable then) {
        return agenda.add(now + Math.max(0, delay), then);
    }

    void cancel(Deadlines.Entry entry) {
        agenda.cancel(entry);
    }

    void say(Entry e) {
        ledger.accept(e);
    }

    Machine machine(int place) {
        return machines.get(place);
    }

    List<Machine> machines() {
        return machines;
    }

    Node node(int place) {
        return nodes.get(place);
    }

    List<Node> nodes() {
        return nodes;
    }

    /** One way between these zones. */
    long way(int one, int other) {
        long mean = one == other ? scenario.net.same() : scenario.net.cross();
        return vary(mean);
    }

    long vary(long mean) {
        return Math.round(mean * links.factor(scenario.net.jitter()));
    }
}
