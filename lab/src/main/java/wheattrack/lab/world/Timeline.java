package wheattrack.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import wheattrack.lab.load.Draws;
import wheattrack.lab.referee.Entry;
import wheattrack.lab.referee.Entry.State;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/** Plays a scenario's faults on the virtual world. */
final class Timeline {
    private static final long GONE_AFTER = 2 * Scenario.SECOND;

    private final World world;

    private Timeline(World world) {
        this.world = world;
    }

    static void schedule(World world) {
        Draws draws = world.draws("faults");
        Timeline t = new Timeline(world);
        for (int i = 0; i < world.scenario.faults.size(); i++) {
            Fault f = world.scenario.faults.get(i);
            int n = f.kind().hitsProxies() ? world.nodes().size() : world.machines().size();
            boolean hits = f.kind().hitsProxies() || f.kind().hitsServers();
            List<Integer> hit = hits ? hit(f, n, draws) : List.of();
            int number = i;
            world.after(f.at(), () -> {
                world.say(Entry.fault(world.now(), number, true));
                t.begin(f, hit);
                if (f.lasts() > 0) {
                    world.after(f.lasts(), () -> {
                        world.say(Entry.fault(world.now(), number, false));
                        t.end(f, hit);
                    });
                }
            });
        }
    }

    /** Which places a fault hits: the seed draws them without repeats. */
    static List<Integer> hit(Fault f, int n, Draws draws) {
        if (f.what().place() >= 0) {
            return List.of(f.what().place());
        }
        List<Integer> left = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            left.add(i);
        }
        List<Integer> out = new ArrayList<>();
        for (int k = f.what().count(n); k > 0; k--) {
            out.add(left.remove(draws.below(left.size())));
        }
        return out;
    }

    private void each(List<Integer> hit, IntConsumer what) {
        hit.forEach(what::accept);
    }

    private void begin(Fault f, List<Integer> hit) {
        switch (f.kind()) {
            case KILL_PROXY -> each(hit, p -> {
                Node node = world.node(p);
                if (node.isUp()) {
                    node.kill();
                    int life = node.life();
                    world.after(world.scenario.frontNotice, () -> {
                        if (node.life() == life) {
                            world.crowd.sees(node, false);
                        }
                    });
                }
            });
            case CRASH, VANISH -> each(hit, s -> {
                Machine m = world.machine(s);
                world.roster.noticesDeath(m);
                if (f.kind() == Fault.Kind.CRASH) {
                    m.crash();
                } else {
                    m.vanish();
                }
            });
            case HANG -> each(hit, s -> world.machine(s).hang());
            case SLOW -> each(hit, s -> world.machine(s).slow(f.size()));
            case FAIL -> each(hit, s -> world.machine(s).fails(f.size()));
            case PAUSE -> each(hit, s -> pauses(world.machine(s), f, world.now() + f.lasts()));
            case DRAIN -> each(hit, this::drain);
            case SHRINK -> {
                for (int i = 0; i < hit.size(); i++) {
                    int s = hit.get(i);
                    world.after(f.lasts() * i / hit.size(), () -> {
                        drain(s);
                        world.after(GONE_AFTER, () -> leave(s));
                    });
                }
            }
            case LIST_DOWN -> world.roster.down(true);
            case LIST_STALE -> world.roster.stale(true);
            case LIST_EMPTY -> world.roster.empty(true);
            case LINK_DELAY -> each(hit, s ->
                world.machine(s).linkDelay = Math.round(f.size() * Scenario.MS));
            case LINK_DROP -> each(hit, s -> world.machine(s).linkLoss = f.size());
            case BURST -> world.crowd.arrivals().times(f.size());
            case HINT_SHARE -> world.crowd.wants().share(f.size());
            case HINT_SCALE -> world.crowd.wants().scale(f.size());
            case HINT_NOISE -> world.crowd.wants().noise(f.size());
            default -> throw new IllegalStateException("not on the virtual clock: " + f.kind());
        }
    }

    private void end(Fault f, List<Integer> hit) {
        switch (f.kind()) {
            case KILL_PROXY -> each(hit, p -> {
                Node node = world.node(p);
                if (!node.isUp()) {
                    node.start();
                    world.crowd.sees(node, true);
                }
            });
            case CRASH, VANISH -> each(hit, this::restart);
            case HANG -> each(hit, s -> world.machine(s).unhang());
            case SLOW -> each(hit, s -> world.machine(s).slow(1));
            case FAIL -> each(hit, s -> world.machine(s).fails(0));
            case DRAIN -> each(hit, this::leave);
            case LIST_DOWN -> world.roster.down(false);
            case LIST_STALE -> world.roster.stale(false);
            case LIST_EMPTY -> world.roster.empty(false);
            case LINK_DELAY -> each(hit, s -> world.machine(s).linkDelay = 0);
            case LINK_DROP -> each(hit, s -> world.machine(s).linkLoss = 0);
            case BURST -> world.crowd.arrivals().times(1);
            case HINT_SHARE -> world.crowd.wants().share(world.scenario.hints.share());
            case HINT_SCALE -> world.crowd.wants().scale(world.scenario.hints.scale());
            case HINT_NOISE -> world.crowd.wants().noise(world.scenario.hints.noise());
            default -> { }
        }
    }

    private void pauses(Machine m, Fault f, long until) {
        if (world.now() < until) {
            m.stall(Math.round(f.size() * Scenario.MS));
            world.after(f.every(), () -> pauses(m, f, until));
        }
    }

    private void drain(int s) {
        world.machine(s).drain();
        world.roster.changes(s, State.DRAINING, startOf(s));
    }

    private void leave(int s) {
        Machine m = world.machine(s);
        if (m.isDraining()) {
            m.crash();
            world.roster.changes(s, State.GONE, 0);
        }
    }

    /** It comes back cold, under its old id with a later start. */
    private void restart(int s) {
        Machine m = world.machine(s);
        if (m.state() != Machine.State.UP && !m.isFallen()) {
            m.start(true);
            world.roster.changes(s, State.READY, m.start());
        }
    }

    private long startOf(int s) {
        Machine m = world.machine(s);
        return m.isCold() ? m.start() : Node.LONG_AGO;
    }
}
