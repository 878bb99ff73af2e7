package wheattrack.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheattrack.lab.load.Arrivals;
import wheattrack.lab.load.Draws;
import wheattrack.lab.load.Want;
import wheattrack.lab.referee.Entry;
import wheattrack.lab.referee.Entry.Answer;
import wheattrack.lab.scenario.Scenario.Clients;
import wheattrack.port.RuleSet.Effect;

/** The clients of the virtual world, and the front that deals them out among the proxies of their zone. */
final class Crowd {
    /** One try: a req on its way to a proxy. */
    record Ask(long req, Want want, long due, boolean again, Op op, int proxy) {
    }

    /** What a client wants, over all its tries. */
    static final class Op {
        final long id, at;
        final Want want;
        final int zone;
        int tries;
        boolean over, left;
        Ask open;

        Op(long id, long at, Want want, int zone) {
            this.id = id;
            this.at = at;
            this.want = want;
            this.zone = zone;
        }
    }

    private final World world;
    private final Draws draws;
    private final Want.Source wants;
    private final Arrivals arrivals;
    private final Clients clients;
    private final List<List<Node>> believed = new ArrayList<>();
    private final Map<Long, Op> waiting = new HashMap<>();
    private long ops, reqs;

    Crowd(World world) {
        this.world = world;
        draws = world.draws("clients");
        wants = new Want.Source(world.scenario, world.draws("wants"));
        arrivals = new Arrivals(world.scenario.load, world.draws("arrivals"));
        clients = world.scenario.clients;
        for (int z = 0; z < world.scenario.zones; z++) {
            believed.add(new ArrayList<>());
        }
    }

    Want.Source wants() {
        return wants;
    }

    Arrivals arrivals() {
        return arrivals;
    }

    /** The front takes a proxy in, or has noticed that it is dead. */
    void sees(Node node, boolean up) {
        List<Node> zone = believed.get(node.zone);
        zone.remove(node);
        if (up) {
            zone.add(node);
        }
    }

    void open() {
        double at = arrivals.next();
        if (at < world.scenario.length) {
            world.after((long) at - world.now(), () -> {
                Op op = new Op(++ops, world.now(), wants.next(), draws.below(believed.size()));
                world.say(Entry.asked(op.at, op.id, op.want.set().rules().at(), op.want.value()));
                tries(op);
                open();
            });
        }
    }

    private Node pick(int zone) {
        for (int i = 0; i < believed.size(); i++) {
            List<Node> there = believed.get((zone + i) % believed.size());
            if (!there.isEmpty()) {
                return there.get(draws.below(there.size()));
            }
        }
        return null;
    }

    private void tries(Op op) {
        op.tries++;
        Node node = pick(op.zone);
        long way = world.vary(world.scenario.net.client());
        long sent = world.now();
        world.after(way, () -> {
            if (node == null || !node.isUp()) {
                world.after(way, () -> again(op, 0));
                return;
            }
            long timeout = op.want.set().rules().timeout();
            Ask ask = new Ask(++reqs, op.want, sent + timeout, op.tries > 1, op, node.place);
            op.open = ask;
            waiting.put(ask.req, op);
            world.say(Entry.taken(sent, ask.req, op.id, node.place, ask.due, op.want.set().rules().at()));
            node.take(ask);
            world.after(ask.due - world.now() + world.scenario.terms.slack(), () -> waiting.remove(ask.req));
            if (draws.happens(clients.impatient())) {
                world.after((long) (draws.uniform() * timeout), () -> leaves(op, ask, node));
            }
        });
    }

    private void leaves(Op op, Ask ask, Node node) {
        if (op.open == ask && waiting.remove(ask.req) != null) {
            op.over = true;
            op.left = true;
            world.say(Entry.left(world.now(), ask.req));
            if (node.isUp()) {
                node.left(ask.req);
            }
        }
    }

    /** A proxy has written its final answer. */
    void answers(Ask ask, Answer how, long wait) {
        world.after(world.vary(world.scenario.net.client()), () -> {
            waiting.remove(ask.req);
            if (ask.op.left) {
                return;
            }
            world.say(Entry.answered(world.now(), ask.req, how));
            Op op = ask.op;
            op.open = null;
            if (how == Answer.DONE) {
                op.over = true;
            } else if (how == Answer.DENIED || op.want.set().rules().effect() == Effect.REPLAYABLE) {
                again(op, wait);
            }
        });
    }

    /** A proxy died with this req. */
    void breaks(Ask ask) {
        world.after(world.vary(world.scenario.net.client()), () -> {
            if (waiting.remove(ask.req) != null && !ask.op.over) {
                world.say(Entry.answered(world.now(), ask.req, Answer.BROKEN));
                ask.op.open = null;
                if (ask.op.want.set().rules().effect() == Effect.REPLAYABLE) {
                    again(ask.op, 0);
                }
            }
        });
    }

    /** Tries again after the advice, if it follows it, or a wait that doubles; not past its patience. */
    private void again(Op op, long advice) {
        if (op.tries > clients.retries() || op.over) {
            return;
        }
        long own = Math.round(clients.backoff() * Math.pow(2, op.tries - 1) * (0.5 + draws.uniform()));
        long wait = advice > 0 && draws.happens(clients.honour()) ? advice : own;
        if (world.now() + wait < op.at + op.want.set().rules().timeout()) {
            world.after(wait, () -> tries(op));
        }
    }
}
