package wheattrack.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import wheattrack.core.Deadlines;
import wheattrack.lab.load.Draws;
import wheattrack.lab.referee.ColdBudget;
import wheattrack.lab.referee.Entry;
import wheattrack.lab.scenario.Scenario.Servers;
import wheattrack.port.Outcome;

/** One server of the virtual world: cores, a waiting room, a cold start and all that can befall it. */
final class Machine {
    /** DEAD refuses connections, SILENT drops all that comes, HUNG takes reqs and answers none. */
    enum State { UP, DEAD, SILENT, HUNG }

    private static final double NOISE = 0.2;        // how much the same work varies from run to run
    private static final long FAST = 10;            // an error's time

    /** A dispatch at this server. */
    private final class Visit {
        final Node.Leg leg;
        final double work;
        final long came = world.now();
        Deadlines.Entry end;
        long endsAt;

        Visit(Node.Leg leg, double work) {
            this.leg = leg;
            this.work = work;
        }
    }

    final int place, zone;
    final Servers kind;
    private final World world;
    private final Draws draws;
    private final ArrayDeque<Visit> queue = new ArrayDeque<>();
    private final List<Visit> running = new ArrayList<>();
    private final ColdBudget budget;
    private State state = State.DEAD;
    private boolean draining, cold, fallen;
    private long start, stalledUntil;
    private double slow = 1, failing;
    private int epoch, connections;
    long linkDelay;
    double linkLoss;

    Machine(World world, int place, Servers kind) {
        this.world = world;
        this.place = place;
        this.kind = kind;
        zone = place % world.scenario.zones;
        draws = world.draws("server" + place);
        budget = new ColdBudget(world.scenario.terms.fallMultiple(), world.scenario.terms.fall());
    }

    State state() {
        return state;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isFallen() {
        return fallen;
    }

    long start() {
        return start;
    }

    boolean isCold() {
        return cold;
    }

    /** Changes with each life; connections of an earlier one are broken. */
    int epoch() {
        return epoch;
    }

    void start(boolean asCold) {
        if (fallen) {
            return;
        }
        state = State.UP;
        draining = false;
        start = world.now();
        cold = asCold;
        budget.clear();
        world.say(Entry.started(world.now(), place, kind.cores() * kind.speed(), asCold));
    }

    private double warmth() {
        double age = world.now() - start;
        return !cold || age >= kind.coldFor() ? 1
            : kind.coldFrom() + (1 - kind.coldFrom()) * age / kind.coldFor();
    }

    boolean connects() {
        if (connections >= kind.connections()) {
            return false;
        }
        connections++;
        return true;
    }

    void hangsUp(int life) {
        connections -= life == epoch ? 1 : 0;
    }

    /** A dispatch's first byte left at that time and has come; anew: on a connection of its own. */
    void arrive(Node.Leg leg, long sent, boolean anew) {
        if (state == State.SILENT) {
            return;
        }
        if (state == State.DEAD) {
            reply(leg, Outcome.RESET);
            return;
        }
        double work = leg.work() * draws.factor(NOISE) + (anew ? kind.handshake() : 0);
        world.say(Entry.came(sent, leg.req(), leg.node().place, place, work));
        boolean knows = leg.node().knowsStart(place) >= start;
        if (cold && warmth() < 1 && budget.add(sent, work, kind.cores() * kind.speed() * warmth(), knows)) {
            fallen = true;
            world.say(Entry.fell(world.now(), place));
            reply(leg, Outcome.RESET);
            world.roster.noticesDeath(this);
            crash();
            return;
        }
        Visit v = new Visit(leg, work);
        leg.at = () -> callOff(v);
        if (state == State.HUNG) {
            queue.add(v);
        } else if (draining || queue.size() >= kind.room() && running.size() >= kind.cores()) {
            reply(leg, Outcome.FULL);
        } else if (draws.happens(failing)) {
            world.after(FAST, () -> reply(leg, Outcome.ERROR));
        } else {
            queue.add(v);
            serve();
        }
    }

    private void serve() {
        while (state == State.UP && world.now() >= stalledUntil && running.size() < kind.cores()
                && !queue.isEmpty()) {
            Visit v = queue.poll();
            if (world.now() >= v.leg.due()) {
                reply(v.leg, Outcome.FULL);         // over already; not begun
                continue;
            }
            running.add(v);
            world.say(Entry.ran(world.now(), v.leg.req(), v.leg.node().place, place, v.came, v.work));
            v.endsAt = world.now() + Math.max(1, Math.round(v.work / (kind.speed() * warmth() / slow)));
            v.end = world.after(v.endsAt - world.now(), () -> finish(v));
        }
    }

    private void finish(Visit v) {
        running.remove(v);
        reply(v.leg, Outcome.DONE);
        serve();
    }

    /** Its connection was closed: what waits or runs for it stops. */
    private void callOff(Visit v) {
        if (!queue.remove(v) && running.remove(v)) {
            world.cancel(v.end);
            serve();
        }
    }

    private void reply(Node.Leg leg, Outcome how) {
        leg.at = null;
        world.after(world.way(zone, leg.node().zone) + linkDelay, () -> leg.node().heard(leg, how));
    }

    // ---- what befalls it

    /** The process dies: what it had breaks. */
    void crash() {
        state = State.DEAD;
        epoch++;
        connections = 0;
        drop(true);
    }

    /** The machine is cut off: nobody hears of it again. */
    void vanish() {
        state = State.SILENT;
        epoch++;
        connections = 0;
        drop(false);
    }

    private void drop(boolean heard) {
        List<Visit> all = new ArrayList<>(running);
        all.addAll(queue);
        running.clear();
        queue.clear();
        for (Visit v : all) {
            world.cancel(v.end);
            v.leg.at = null;
            if (heard) {
                reply(v.leg, Outcome.RESET);
            }
        }
    }

    void hang() {
        if (state == State.UP) {
            state = State.HUNG;
            running.forEach(v -> world.cancel(v.end));
        }
    }

    /** What was in work when it hung is lost; what waited goes on. */
    void unhang() {
        if (state == State.HUNG) {
            state = State.UP;
            List<Visit> lost = List.copyOf(running);
            running.clear();
            lost.forEach(v -> reply(v.leg, Outcome.RESET));
            serve();
        }
    }

    void stall(long time) {
        if (state != State.UP) {
            return;
        }
        stalledUntil = Math.max(stalledUntil, world.now() + time);
        for (Visit v : running) {
            world.cancel(v.end);
            v.endsAt += time;
            v.end = world.after(v.endsAt - world.now(), () -> finish(v));
        }
        world.after(time, this::serve);
    }

    void slow(double times) {
        slow = times;
    }

    void fails(double share) {
        failing = share;
    }

    void drain() {
        draining = true;
    }
}
