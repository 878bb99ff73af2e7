package wheattrack;

import java.util.Arrays;
import java.util.zip.CRC32;
import wheattrack.port.Outcome;
import wheattrack.port.Port;
import wheattrack.port.Req;
import wheattrack.port.RuleSet;
import wheattrack.port.RuleSet.Effect;
import wheattrack.port.RuleSet.Group;

/*
 * All decisions of one proxy. How to call: construct, hand each part its settings (limits, zones, cold,
 * tenants, goal, probing), then start; entry, gone and listed follow the list; arrive takes a req and returns
 * what the port tells of it later. The interface called out through is wheattrack.port.Port. Times are
 * tenths of a millisecond, backends dense indexes. The ordinary path is EQUILOAD, see docs/design.md.
 */
public final class Rules {
    private static final int HINTS = 2000;          // the design's window
    private static final long SECOND = 10_000;
    private static final long RECUT = SECOND;       // recompute period
    private static final double KEEP = 0.8;         // of the learnt sums, at each recompute: half-life 3 s
    private static final double FLOOR = 0.02;       // share kept by an ailing srv, its way back

    private final Port port;
    private final int me;
    private final int balancers;
    private final CRC32 crc = new CRC32();
    private final byte[] salt = new byte[16];
    private long draws;
    private final long shortest;                    // the tightest response target
    private int maxDispatches = 1;
    private boolean mayCancel;
    private boolean mayDuplicate;
    private long maxWait;
    private int zone;
    private double crossPrice;
    private double startCapacity = 1;
    private long cold;
    private long fall;
    private double[] quota = {};
    private double excess = 1;
    private boolean probes;
    private boolean asks;
    private long askEvery;
    private boolean following;
    private long retryAsk;

    // Backends, under their dense index.
    private int slots;
    private long[] id = new long[8];
    private boolean[] ready = new boolean[8];
    private int[] zoneOf = new int[8];
    private int[] packOf = new int[8];
    private double[] weight = new double[8];
    private long[] upSince = new long[8];
    private double[] share = new double[8];
    private double[] speed = new double[8];         // learnt, against the weight; 1 is as listed
    private double[] lagSum = new double[8];
    private double[] costSum = new double[8];
    private double[] tries = new double[8];
    private double[] fails = new double[8];
    private int[] out = new int[8];
    private double[] outCost = new double[8];
    private long[] quiet = new long[8];             // since when it owes an answer and gave none
    private boolean[] shut = new boolean[8];
    private long[] trialAt = new long[8];
    private long[] trialGap = new long[8];

    // The cut: sorted hints, their running sum, and the order of ready srvs with the running sum of shares.
    private final int[] window = new int[HINTS];
    private int seen;
    private int[] values = {};
    private double[] below = {0};
    private int[] order = {};
    private double[] ends = {};
    private double abroad;                          // nearness of srvs in other zones, 0 to 1
    private double misses;
    private double judged;
    private double slowness = 1;                    // fleet's lag over cost
    private double meanCost = 1;
    private Course head;                            // open reqs, oldest first
    private Course tail;

    public Rules(Port port, long seed, int me, int balancers, RuleSet[] sets) {
        this.port = port;
        this.me = me;
        this.balancers = Math.max(1, balancers);
        for (int i = 0; i < 8; i++) {
            salt[i] = (byte) (seed >> 8 * i);
        }
        shortest = Arrays.stream(sets).mapToLong(RuleSet::target).min().orElse(SECOND);
    }

    public void limits(int most, boolean cancels, boolean duplicates, long longestWait) {
        maxDispatches = most;
        mayCancel = cancels;
        mayDuplicate = duplicates;
        maxWait = longestWait;
    }

    public void zones(int own, double price) {
        zone = own;
        crossPrice = price;
        abroad = 1 / (1 + 100 * price);
    }

    public void cold(double least, long warmAfter, long fallAfter) {
        startCapacity = least;
        cold = warmAfter;
        fall = fallAfter;
    }

    public void tenants(double[] perSecond, double excessValue) {
        quota = perSecond;
        excess = excessValue;
    }

    public void goal(double whole, double worstRuleSet) {
    }

    public void probing(boolean pays) {
        probes = pays;
    }

    public void start(boolean mustAsk, long ask) {
        asks = mustAsk;
        askEvery = ask;
        if (asks) {
            port.follow();
        }
        recutAndWait();
        sweepAndWait();
    }

    private double chance() {
        draws++;
        for (int i = 0; i < 8; i++) {
            salt[8 + i] = (byte) (draws >> 8 * i);
        }
        crc.reset();
        crc.update(salt, 0, 16);
        return crc.getValue() / 4294967296.0;
    }

    // ---- the list

    public void entry(int b, long name, boolean healthy, int inZone, int inPack, double size, long up,
            boolean fresh) {
        if (b >= id.length) {
            grow(2 * b);
        }
        slots = Math.max(slots, b + 1);
        boolean restarted = fresh || up > upSince[b];
        id[b] = name;
        zoneOf[b] = inZone;
        packOf[b] = inPack;
        weight[b] = size > 0 && size < 1e9 ? size : 1;
        upSince[b] = up;
        ready[b] = healthy;
        if (restarted) {
            speed[b] = 1;
            lagSum[b] = costSum[b] = tries[b] = fails[b] = 0;
            shut[b] = false;
        }
    }

    private void grow(int n) {
        id = Arrays.copyOf(id, n);
        ready = Arrays.copyOf(ready, n);
        zoneOf = Arrays.copyOf(zoneOf, n);
        packOf = Arrays.copyOf(packOf, n);
        weight = Arrays.copyOf(weight, n);
        upSince = Arrays.copyOf(upSince, n);
        share = Arrays.copyOf(share, n);
        speed = Arrays.copyOf(speed, n);
        lagSum = Arrays.copyOf(lagSum, n);
        costSum = Arrays.copyOf(costSum, n);
        tries = Arrays.copyOf(tries, n);
        fails = Arrays.copyOf(fails, n);
        out = Arrays.copyOf(out, n);
        outCost = Arrays.copyOf(outCost, n);
        quiet = Arrays.copyOf(quiet, n);
        shut = Arrays.copyOf(shut, n);
        trialAt = Arrays.copyOf(trialAt, n);
        trialGap = Arrays.copyOf(trialGap, n);
    }

    public void gone(int b) {
        ready[b] = false;
    }

    /** The list has been told; saved: it is only what this instance had last, no answer to a call. */
    public void listed(boolean saved) {
        following |= !saved;
        retryAsk = 0;
        order();
    }

    public void listFailed() {
        following = false;
        retryAsk = retryAsk == 0 ? askEvery / 40 : Math.min(askEvery / 4, 2 * retryAsk);
        port.later((long) (retryAsk * (0.5 + chance())), () -> {
            if (!following) {
                port.follow();
            }
        });
    }

    // ---- the cut

    private void recutAndWait() {
        if (seen > 0) {
            learn();
            int n = Math.min(seen, HINTS);
            values = Arrays.copyOf(window, n);
            Arrays.sort(values);
            below = new double[n + 1];
            for (int i = 0; i < n; i++) {
                below[i + 1] = below[i] + values[i];
            }
            meanCost = below[n] / n;
        }
        order();
        port.later(RECUT, this::recutAndWait);
    }

    /** The ready srvs by id, each with its share of the cut. */
    private void order() {
        long now = port.now();
        int n = 0;
        order = new int[slots];
        for (int b = 0; b < slots; b++) {
            if (ready[b]) {
                int i = n++;
                for (; i > 0 && id[order[i - 1]] > id[b]; i--) {
                    order[i] = order[i - 1];
                }
                order[i] = b;
            }
        }
        order = Arrays.copyOf(order, n);
        ends = new double[n];
        double usual = usualFailure();
        double sum = 0;
        for (int i = 0; i < n; i++) {
            int b = order[i];
            share[b] = weight[b] * speed[b] * health(b, usual) * warmth(b, now)
                * (zoneOf[b] == zone ? 1 : abroad);
            ends[i] = sum += share[b];
        }
    }

    private double failure(int b) {
        return fails[b] / (tries[b] + 2);
    }

    private double usualFailure() {
        double[] all = Arrays.stream(order).mapToDouble(this::failure).sorted().toArray();
        return all.length == 0 ? 0 : all[all.length / 2];
    }

    private double health(int b, double usual) {
        if (shut[b]) {
            return FLOOR;
        }
        double better = 1 - Math.max(0, failure(b) - usual);
        return Math.max(FLOOR, Math.pow(better, 6));
    }

    private double warmth(int b, long now) {
        double age = now - upSince[b];
        return age >= cold ? 1 : startCapacity + (1 - startCapacity) * Math.max(0, age) / cold;
    }

    /** A fresh srv is first met by one proxy at a time, in turns by their number. */
    private boolean ourTurn(int b, long now) {
        long age = now - upSince[b];
        return age >= cold / 2 || age >= 0 && age / Math.max(1, fall / 4) % balancers == me;
    }

    /** Shares follow what dispatches took against their cost: who answers slower than the fleet gets less. */
    private void learn() {
        long now = port.now();
        for (Course c = head; c != null; c = c.next) {
            c.addLateness(now);
        }
        double lag = 0;
        double cost = 0;
        for (int b : order) {
            lag += lagSum[b];
            cost += costSum[b];
        }
        if (cost > 0 && lag > 0) {
            slowness = lag / cost;
            for (int b : order) {
                double prior = meanCost * 2;
                double own = (lagSum[b] + prior * slowness) / (costSum[b] + prior) / slowness;
                speed[b] = Math.min(4, Math.max(0.1, Math.pow(speed[b], 0.98) * Math.pow(own, -0.25)));
            }
        }
        for (int b = 0; b < slots; b++) {
            lagSum[b] *= KEEP;
            costSum[b] *= KEEP;
            tries[b] *= KEEP;
            fails[b] *= KEEP;
        }
        double late = judged > 0 ? misses / judged : 0;
        abroad = Math.min(1, Math.max(0.02, abroad * (late > crossPrice / 4 ? 1.25 : 0.9)));
        misses *= KEEP;
        judged *= KEEP;
    }

    /** The place in the order whose interval holds this cost; a value on a cut falls by covered share. */
    private int place(int cost) {
        int n = order.length;
        double all = n == 0 ? 0 : ends[n - 1];
        if (cost <= 0 || values.length == 0 || all <= 0) {
            return (int) (chance() * n);
        }
        double lo = below[bound(cost)];
        double hi = below[bound(cost + 1)];
        double at = (lo + chance() * (hi - lo)) / below[values.length] * all;
        int i = 0;
        while (i < n - 1 && ends[i] <= at) {
            i++;
        }
        return i;
    }

    private int bound(int value) {
        int lo = 0;
        int hi = values.length;
        while (lo < hi) {
            int mid = (lo + hi) >>> 1;
            if (values[mid] < value) {
                lo = mid + 1;
            } else {
                hi = mid;
            }
        }
        return lo;
    }

    /** When a cost given to this srv now would be done, by what this proxy has out there. */
    private double finish(int b, int cost) {
        return (outCost[b] + Math.max(cost, 1)) * slowness / Math.max(0.05, speed[b]);
    }

    /** The srv for a req's next dispatch, or -1: its interval's, or the next in order not passed over. */
    private int pick(Course c) {
        int n = order.length;
        if (n == 0) {
            return -1;
        }
        long now = port.now();
        int from = place(c.req.cost);
        double sum = 0;
        double shares = 0;
        for (int b : order) {
            sum += outCost[b];
            shares += share[b];
        }
        int spare = -1;
        for (int k = 0; k < n; k++) {
            int b = order[(from + k) % n];
            if (!ready[b] || c.met(b) || !c.allows(b, now) || !ourTurn(b, now)) {
                continue;
            }
            if (shut[b]) {
                if (k == 0 && now >= trialAt[b] && c.req.ruleSet.effect() == Effect.REPLAYABLE) {
                    trialAt[b] = now + trialGap[b];
                    trialGap[b] = Math.min(4 * SECOND, 2 * trialGap[b]);
                    return b;
                }
                continue;
            }
            double fair = shares > 0 ? sum * share[b] / shares : 0;
            boolean crowded = out[b] >= 2 && outCost[b] > 2 * fair + meanCost;
            boolean foreign = zoneOf[b] != zone && k > 0 && crossPrice * 10 > 1;
            if (!crowded && !foreign) {
                return b;
            }
            if (spare < 0 || finish(b, c.req.cost) < finish(spare, c.req.cost)) {
                spare = b;
            }
        }
        return spare;
    }

    // ---- a req's course

    public Port.Held arrive(Req req) {
        if (req.cost > 0) {
            window[seen++ % HINTS] = req.cost;
            if (seen >= 2 * HINTS) {
                seen -= HINTS;
            }
        }
        Course c = new Course(req);
        c.next();
        return c;
    }

    private void sweepAndWait() {
        long now = port.now();
        for (int b : order) {
            long patience = (long) Math.max(shortest / 4.0, 3 * finish(b, 0));
            if (!shut[b] && out[b] > 0 && now - quiet[b] > patience) {
                shut[b] = true;
                trialGap[b] = shortest;
                trialAt[b] = now + trialGap[b];
                port.log("shut " + id[b] + ": " + out[b] + " out, silent for " + (now - quiet[b]) / 10 + " ms");
            }
        }
        for (Course c = head, after; c != null; c = after) {
            after = c.next;
            c.look(now);
        }
        port.later(shortest / 10, this::sweepAndWait);
    }

    private void answered(int b) {
        quiet[b] = port.now();
        if (shut[b]) {
            shut[b] = false;
            port.log("open " + id[b] + ": it answers");
        }
    }

    /** One open req: its dispatches and what may still be done for it. */
    private final class Course implements Port.Held {
        final Req req;
        Course next;
        Course last;
        boolean over;
        boolean streaming;
        int count;
        int live;
        int[] srv = new int[2];
        int[] zones = new int[2];
        int[] packs = new int[2];
        long[] sent = new long[2];
        boolean[] isOut = new boolean[2];
        boolean[] called = new boolean[2];
        boolean[] mayHaveRun = new boolean[2];

        Course(Req req) {
            this.req = req;
            last = tail;
            if (tail == null) {
                head = this;
            } else {
                tail.next = this;
            }
            tail = this;
        }

        boolean met(int b) {
            for (int k = 0; k < count; k++) {
                if (srv[k] == b && !(k < count - 2)) {
                    return true;
                }
            }
            return false;
        }

        /** Rule two: after a dispatch that may have run, only where a repeat is known not to count. */
        boolean allows(int b, long now) {
            RuleSet set = req.ruleSet;
            for (int k = 0; k < count; k++) {
                if (mayHaveRun[k] && set.effect() != Effect.REPLAYABLE && (set.effect() == Effect.NON_REPLAYABLE
                        || now >= sent[k] + set.window()
                        || set.group() == Group.ZONE && zones[k] != zoneOf[b]
                        || set.group() == Group.CELL && packs[k] != packOf[b])) {
                    return false;
                }
            }
            return true;
        }

        boolean mayDeny() {
            boolean ran = false;
            for (int k = 0; k < count; k++) {
                ran |= mayHaveRun[k];
            }
            return !ran || req.ruleSet.effect() == Effect.REPLAYABLE
                || req.ruleSet.effect() == Effect.UNIQUED && req.ruleSet.group() == Group.ALL;
        }

        /** The next dispatch, or the final answer where none can help any more. */
        void next() {
            long now = port.now();
            int b = count < maxDispatches && now < req.due ? pick(this) : -1;
            long until = req.ruleSet.overdue() > 0 ? req.due
                : Math.min(req.due, req.arrived + req.ruleSet.target());
            if (b >= 0 && now + finish(b, req.cost) <= until) {
                send(b);
            } else if (live == 0) {
                giveUp();
            }
        }

        void send(int b) {
            if (count == srv.length) {
                srv = Arrays.copyOf(srv, 2 * count);
                zones = Arrays.copyOf(zones, 2 * count);
                packs = Arrays.copyOf(packs, 2 * count);
                sent = Arrays.copyOf(sent, 2 * count);
                isOut = Arrays.copyOf(isOut, 2 * count);
                called = Arrays.copyOf(called, 2 * count);
                mayHaveRun = Arrays.copyOf(mayHaveRun, 2 * count);
            }
            int leg = count++;
            long now = port.now();
            srv[leg] = b;
            zones[leg] = zoneOf[b];
            packs[leg] = packOf[b];
            sent[leg] = now;
            isOut[leg] = mayHaveRun[leg] = true;
            live++;
            if (out[b]++ == 0) {
                quiet[b] = now;
            }
            outCost[b] += req.cost;
            port.dispatch(req, b, req.due - now, (how, lag, ended) -> result(leg, how, lag, ended));
        }

        void result(int leg, Outcome how, long lag, boolean ended) {
            int b = srv[leg];
            isOut[leg] = false;
            live--;
            mayHaveRun[leg] = !how.neverRan;
            out[b]--;
            outCost[b] = out[b] == 0 ? 0 : outCost[b] - req.cost;
            if (how != Outcome.CANCELLED && how != Outcome.MOOT) {
                tries[b]++;
                if (how != Outcome.DONE) {
                    fails[b]++;
                }
            }
            if (how == Outcome.DONE) {
                lagSum[b] += lag;
                costSum[b] += req.cost;
                answered(b);
            } else if (how == Outcome.ERROR || how == Outcome.FULL) {
                answered(b);
            }
            if (over) {
                return;
            }
            if (ended) {
                close(how == Outcome.DONE && port.now() - req.arrived <= req.ruleSet.target());
                return;
            }
            if (live == 0) {
                if (how == Outcome.TIMEOUT || port.now() >= req.due) {
                    giveUp();
                } else {
                    next();
                }
            }
        }

        void giveUp() {
            close(false);
            if (mayDeny()) {
                port.deny(req, maxWait);
            } else {
                port.abort(req);
            }
        }

        void close(boolean good) {
            over = true;
            judged++;
            if (!good) {
                misses++;
            }
            if (last == null) {
                head = next;
            } else {
                last.next = next;
            }
            if (next == null) {
                tail = last;
            } else {
                next.last = last;
            }
            for (int k = 0; k < count; k++) {
                callOff(k);
            }
        }

        void callOff(int k) {
            if (isOut[k] && !called[k] && mayCancel) {
                called[k] = true;
                port.cancel(req, k);
            }
        }

        /** A req stuck at a shut srv moves on: by a copy, or else by calling the first off. */
        void look(long now) {
            if (live != 1 || streaming || count >= maxDispatches) {
                return;
            }
            int leg = count - 1;
            while (!isOut[leg]) {
                leg--;
            }
            if (!shut[srv[leg]] || called[leg] || req.ruleSet.effect() == Effect.NON_REPLAYABLE) {
                return;
            }
            if (mayDuplicate) {
                next();
            } else {
                callOff(leg);
            }
        }

        void addLateness(long now) {
            for (int k = 0; k < count; k++) {
                if (isOut[k] && now - sent[k] > 2 * req.cost * slowness) {
                    lagSum[srv[k]] += (now - sent[k]) * (1 - KEEP);
                }
            }
        }

        @Override
        public void streams(int leg) {
            streaming = true;
        }

        @Override
        public void left() {
            if (!over) {
                close(false);
            }
        }
    }
}
