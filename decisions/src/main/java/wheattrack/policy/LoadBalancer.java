package wheattrack.policy;

import wheattrack.api.RequestHandle;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import wheattrack.statistics.SeededRandom;
import wheattrack.statistics.DecayingLinearRegression;
import wheattrack.statistics.LatenessCounters;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyEvent.Kind;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.PolicySettings;
import wheattrack.api.PendingRequest;
import wheattrack.api.RequestClass;
import wheattrack.api.Idempotency;
import wheattrack.api.DeduplicationScope;

/*
 * All decisions of one proxy. How to call: construct, hand each part its settings (limits, zones, cold,
 * reports, traffic), then start; entry, gone, listed and listFailed follow the list, load what srvs report;
 * arrive takes a req and returns what the port tells of it later. Called out through: wheattrack.port.Port.
 * Times are tenths of a millisecond, backends dense indexes. The ordinary path is EQUILOAD: docs/design.md.
 */
public final class LoadBalancer {
    private static final int HINTS = 2000;          // the design's window
    private static final int LEAST = 2, ASKED = 2;  // srvs met, connections priced; asked before a send
    private static final int TRAFFIC = 20, KINDS = 64;     // seconds of own traffic that tell a part; kinds
    public static final int MAX_BACKENDS = 1024;    // backends known at once
    private static final long SECOND = 10_000, RECUT = SECOND;     // recompute period
    private static final double KEEP = 0.8, SLOWLY = 0.95;  // of learnt sums a second; of a kind's
    private static final double DEAR = 3;           // a crossing pays from this many times its price on
    private static final double CALM = 0.125;       // of the tightest target: a mean wait that may stand
    private static final double DOUBT = 8;          // reqs that half believe the hints before any lag is seen
    private static final double FULLY = 0.8;        // by twice as many, where lags are too few to tell
    private static final double QUEUED = 0.1;       // how much a lag above the usual for its hint counts
    private static final double MISSED = 0.1;       // of the reqs sent: late or lost, as many as may be
    private static final int LOOKS = 16;            // srvs looked at for a req: no cost grows with the fleet
    private static final double FLAT = 0.25;        // of the mean cost, which every req costs at least
    private static final int LATELY = 16;           // hints that tell whether their unit has moved,
    private static final double JUMP = Math.log(8), SURE = 5;   // by their mean log against the window's
    private static final double ODD = 1000;         // times the median hint: what lies above counts as that
    private static final double TRACE = 0.01;       // a part denied that is none
    private static final int TRIALS = 8;            // reqs a trial of a shut srv, so that few are risked
    private static final int MANY = 4, FEW = 8, TOLD = 6;  // proxies a srv meets; srvs a proxy meets at least
    private static final double ATONCE = 0.25;      // of a cold srv's bound: what may come at once
    private static final double FLOOR = 0.02;       // share kept by an ailing srv, its way back

    private final PolicyRuntime port;
    private final int me, balancers;
    private final SeededRandom chance;
    private int maxDispatches = 1, zone, asks;
    private boolean mayCancel, mayDuplicate, following, began;  // began: to get hints after reqs without
    private boolean reports, replayables;           // srvs tell their load; a rule set may run again
    private double quota, traffic, rest;            // reqs a second within all shares; ours; see traffic()
    private double crossPrice, startCapacity = 1, fallMultiple = 1;
    private long shortest;                          // the tightest response target
    private long cold, fall, maxWait, askEvery, retryAsk, keepOpen;     // idle connections, so long

    // Backends, under their dense index.
    private int slots;
    private long[] id = new long[MAX_BACKENDS], upSince = new long[MAX_BACKENDS];
    private boolean[] ready = new boolean[MAX_BACKENDS], shut = new boolean[MAX_BACKENDS];
    private int[] zoneOf = new int[MAX_BACKENDS], packOf = new int[MAX_BACKENDS], out = new int[MAX_BACKENDS], kind = new int[MAX_BACKENDS];
    private double[] share = new double[MAX_BACKENDS], weight = new double[MAX_BACKENDS], tries = new double[MAX_BACKENDS];
    private double[] fails = new double[MAX_BACKENDS], room = new double[MAX_BACKENDS]; // room: as its full answers teach
    // Cost out, done, called off or timed out and maybe running on; of a cold srv's budget spent, leaking.
    private double[] outCost = new double[MAX_BACKENDS], costSum = new double[MAX_BACKENDS];
    private double[] ghost = new double[MAX_BACKENDS], spent = new double[MAX_BACKENDS];
    // Time with something out there: decaying, since its last answer; mean wait over the last second.
    private double[] busy = new double[MAX_BACKENDS], silence = new double[MAX_BACKENDS], stand = new double[MAX_BACKENDS];
    private long[] busyFrom = new long[MAX_BACKENDS], spentAt = new long[MAX_BACKENDS];
    private long[] trialAt = new long[MAX_BACKENDS], trialGap = new long[MAX_BACKENDS];
    private double[] held = new double[MAX_BACKENDS];       // reqs there by its last report, and ours since
    private long[] heardAt = new long[MAX_BACKENDS], restAt = new long[MAX_BACKENDS];   // of that; of our last outcome, or 0
    private final double[] wide = new double[KINDS];    // reqs that a srv of a kind works on at once

    // The cut: sorted hints, their running sum, and the order of ready srvs with the running sum of shares.
    private final double[] window = new double[HINTS];
    private long seen, taken, takenThen, seconds = 1, triedAt, sentAt;
    private long vainSince;                         // a req was denied as too heavy, none was sent since
    private int[] order = {};
    private double[] values = {}, below = {0}, ends = {};
    private double meeting = 1, twins = 1, usualFailure;    // proxies that meet a srv; processes of this one
    private double allOut, abroad;                  // cost out anywhere; nearness of other zones, 0 to 1
    // By kind, kept longer: cost, time busy by weight, time of all dispatches; and cost by that, fleet 1.
    private final double[] kindCost = new double[KINDS], kindBusy = new double[KINDS];
    private final double[] kindOut = new double[KINDS], speed = new double[KINDS];
    private double usualPace = 1, usualLoad;        // cost a srv does for us, by weight: busy, in all
    private double keep = KEEP;                     // of what is learnt of a srv, by the second or the visit
    private double meanCost = 1, meanWorth = 1, unit = 1;   // unit: costs of now in one of the start
    private double lately, windowLog, jump = JUMP, mostHint = Integer.MAX_VALUE;
    private int shuts, outs, idleDenied;            // shut among the ready; dispatches out; denied with none
    private String why = "";
    private double trust = 0.5, scale = 1, flat;    // cost: flat + scale x hint to the power of trust
    private double refuse;                          // the part of reqs denied as too many sent ones are late
    private final DecayingLinearRegression fit = new DecayingLinearRegression(HINTS);
    private final LatenessCounters late = new LatenessCounters();
    private final Set<SimulatedHistory> open = new LinkedHashSet<>();     // open reqs, oldest first

    public LoadBalancer(PolicyRuntime port, long seed, int me, int balancers, RequestClass[] sets) {
        this.port = port;
        this.me = me;
        this.balancers = Math.max(1, balancers);
        chance = new SeededRandom(seed);
        Arrays.fill(speed, 1);
        configure(PolicySettings.DEFAULTS, sets);
    }

    /** Takes all settings into use; what was learnt is kept. */
    public void configure(PolicySettings settings, RequestClass[] sets) {
        shortest = Arrays.stream(sets).mapToLong(RequestClass::latencyObjective).min().orElse(SECOND);
        replayables = Arrays.stream(sets).anyMatch(set -> set.idempotency() == Idempotency.IDEMPOTENT);
        maxDispatches = settings.attempts().maxAttempts();
        mayCancel = settings.attempts().mayCancel();
        mayDuplicate = settings.attempts().mayHedge();
        maxWait = settings.attempts().maxRetryAfter();
        zone = settings.zones().own();
        crossPrice = settings.zones().crossingPrice();
        abroad = 1 / (1 + 100 * crossPrice);
        startCapacity = settings.slowStart().initialCapacity();
        cold = settings.slowStart().warmUpTime();
        fallMultiple = settings.slowStart().overloadMultiple();
        fall = settings.slowStart().overloadTime();
        trust = settings.loadReports().expected() && !reports ? FULLY : trust;
        reports = settings.loadReports().expected();
        asks = reports && settings.loadReports().probed() ? ASKED : 0;
        quota = settings.traffic().totalQuota();
        traffic = seconds > 1 ? traffic : quota / balancers;    // new settings unlearn nothing
        double price = settings.traffic().connectionPrice();    // of a connection, reckoned at 100 a srv
        rest = price > 0 ? 100 * SECOND * settings.traffic().handshakePrice() / price : 0;
    }

    /** A srv's report: the reqs it holds, and those of them that wait. */
    public void onLoadReport(int b, double holds, double waits) {
        if (reports && b < MAX_BACKENDS && holds >= 0) {
            held[b] = holds;
            heardAt[b] = port.now();
            double works = holds - Math.max(0, waits), known = wide[kind[b]];
            wide[kind[b]] = Math.max(1, waits >= 1 ? known + (works - known) / 8 : Math.max(known, works));
        }
    }

    private boolean isHeard(int b) { return heardAt[b] > 0 && port.now() - heardAt[b] < shortest / 2; }

    /** Cost ahead of a req sent there now, for each that it works on at once, by its last report. */
    private double ahead(int b) {
        return Math.max(0, held[b] + 1 - wide[kind[b]]) * meanCost / Math.max(1, wide[kind[b]]);
    }

    public void start(boolean mustAsk, long ask) {
        askEvery = ask;
        if (mustAsk) {
            port.watchEndpoints();
        }
        recutAndWait();
        sweepAndWait();
    }

    // ---- the list

    /** Srvs on the list that are kept away from now. */
    public int ejectedCount() { return shuts; }

    /** Another process of this proxy is there: of what may be sent to cold srvs, half is its. */
    public void setOtherProcessPresent(boolean other) { twins = other ? 2 : 1; }

    public void updateBackend(EndpointUpdate e) {
        int b = e.index();
        if (b >= MAX_BACKENDS) {
            port.report(new PolicyEvent(Kind.BACKEND_LEFT_OUT, e.id(), MAX_BACKENDS + " are known already"));
            return;
        }
        slots = Math.max(slots, b + 1);
        boolean restarted = e.newlyListed() || e.startedAt() > upSince[b];
        id[b] = e.id();
        zoneOf[b] = e.zone();
        packOf[b] = e.cell();
        kind[b] = Math.floorMod(e.kind(), KINDS);
        weight[b] = e.weight() > 0 && e.weight() < 1e9 ? e.weight() : 1;
        upSince[b] = e.startedAt();
        ready[b] = e.ready();
        if (restarted) {
            heardAt[b] = 0;
            costSum[b] = busy[b] = held[b] = ghost[b] = stand[b] = tries[b] = fails[b] = silence[b] = 0;
            shut[b] = false;
            room[b] = MAX_BACKENDS;
            spent[b] = meanCost * chance.draw();    // and not all of them at the same moment
            spentAt[b] = port.now();
        }
    }

    public void removeBackend(int b) {
        if (b < MAX_BACKENDS) {
            ready[b] = false;
        }
    }

    /** The list has been told; saved: it is only what this instance had last, no answer to a call. */
    public void endpointListUpdated(boolean saved) {
        following |= !saved;
        retryAsk = 0;
        order();
    }

    public void endpointListFailed(boolean spoke) {         // else callers are turned away, and thin out
        following = false;
        retryAsk = spoke ? askEvery / 100 : Math.min(askEvery / 4, Math.max(askEvery / 40, 2 * retryAsk));
        port.schedule((long) (retryAsk * (0.5 + chance.draw())), () -> {
            if (!following) {
                port.watchEndpoints();
            }
        });
    }

    // ---- the cut

    private void recutAndWait() {
        learn();
        recut();
        order();
        port.schedule(RECUT, this::recutAndWait);
    }

    private void recut() {
        if (seen > 0) {
            boolean moved = moved();
            if (moved) {
                forgetOld();
            }
            int n = (int) Math.min(seen, HINTS);
            values = Arrays.copyOf(window, n);
            Arrays.sort(values);
            below = new double[n + 1];
            mostHint = ODD * values[n / 2];
            double sum = 0, bent = 0, logs = 0, squares = 0, before = meanCost;
            for (double value : values) {
                double hint = Math.min(value, mostHint);
                sum += hint;
                bent += Math.pow(hint, trust);
                double log = Math.log(hint);
                logs += log;
                squares += log * log;
            }
            windowLog = logs / n;
            double spread = Math.sqrt(Math.max(0, squares / n - windowLog * windowLog));
            jump = Math.max(JUMP, SURE * spread / Math.sqrt(2 * LATELY - 1));
            flat = FLAT * sum / n;
            scale = (1 - FLAT) * sum / bent;
            for (int i = 0; i < n; i++) {
                below[i + 1] = below[i] + expected(values[i]);
            }
            meanCost = below[n] / n;
            if (moved || began && n <= LATELY) {
                rescale(meanCost / before);
            }
        }
    }

    private boolean moved() { return seen > LATELY && Math.abs(lately - windowLog) > jump; }

    /** The latest hints alone are of the unit that hints have now. */
    private void forgetOld() {
        double[] latest = LongStream.range(seen - LATELY, seen).mapToDouble(i -> window[(int) (i % HINTS)])
            .toArray();
        System.arraycopy(latest, 0, window, 0, LATELY);
        seen = LATELY;
        lately = Arrays.stream(latest).map(Math::log).sum() / LATELY;
        long perCent = Math.round(100 * Math.exp(lately - windowLog));
        port.report(new PolicyEvent(Kind.HINT_UNIT_CHANGED, perCent, "per cent of before"));
    }

    // Hints that begin or change their unit: a mean req is as much work as before, all costs carried over so.
    private void rescale(double times) {
        unit *= times;
        for (double[] costs : new double[][] {costSum, outCost, ghost, spent, kindCost}) {
            Arrays.setAll(costs, i -> costs[i] * times);
        }
        allOut *= times;
        usualPace *= times;
        usualLoad *= times;
        late.cost *= times;
        meanWorth *= times;
        fit.shift(Math.log(times));
    }

    /** The ready srvs by id, or of many proxies its turn of them, each with its share of the cut. */
    private void order() {
        long now = port.now();
        int[] all = IntStream.range(0, slots).filter(b -> ready[b]).boxed()
            .sorted(Comparator.comparingLong(b -> id[b])).mapToInt(b -> b).toArray();
        double own = Math.max(1.0 / balancers, quota > 0 ? traffic / quota : 0);
        keepOpen = rest > 0 && quota > 0 ? (long) (rest * all.length / quota) : Long.MAX_VALUE;
        int few = !reports ? FEW : (int) Math.max(LEAST, Math.min(TOLD, traffic * keepOpen / SECOND));
        int part = (int) Math.max(few, MANY * all.length * own);
        int n = Math.min(all.length, part + Math.max(0, 4 * shuts - 2 * part));     // incident i8788ed
        order = IntStream.range(0, all.length)
            .filter(i -> Math.floorMod(i - (long) me * part, all.length) < n).map(i -> all[i]).toArray();
        ends = new double[n];
        meeting = twins * Math.max(1, (double) balancers * n / Math.max(1, all.length));
        shuts = 0;
        double[] failures = Arrays.stream(order).mapToDouble(this::failure).sorted().toArray();
        usualFailure = n == 0 ? 0 : failures[n / 2];
        double sum = 0;
        for (int i = 0; i < n; i++) {
            int b = order[i];
            share[b] = weight[b] * speed[kind[b]] * Math.sqrt(pace(b) / usual(b))
                * health(b) * warmth(b, now) * (zoneOf[b] == zone ? 1 : abroad);
            ends[i] = sum += share[b];
            shuts += shut[b] ? 1 : 0;
        }
    }

    private double failure(int b) { return fails[b] / (tries[b] + 2); }

    private double health(int b) {
        return shut[b] ? FLOOR : Math.max(FLOOR, Math.pow(1 - Math.max(0, failure(b) - usualFailure), 6));
    }

    private double warmth(int b, long now) {
        double age = now - upSince[b];
        return age >= cold ? 1 : startCapacity + (1 - startCapacity) * Math.max(0, age) / cold;
    }

    /** A fresh srv is first met in turns by own number, then by one proxy more with each turn. */
    private boolean ourTurn(int b, long now) {
        long age = now - upSince[b];
        long turn = Math.max(1, fall / 4), turns = Math.max(1, Math.min((long) meeting, cold / 2 / turn));
        return age >= me % turns * turn;
    }

    // Incident, cold srvs fell over: a budget by what warm srvs and its kind do; light reqs weigh as means.
    private boolean bears(int b, double load, long now) {
        if (now - upSince[b] >= cold) {
            return true;
        }
        if (usualLoad == 0) {
            return out[b] == 0 && (order.length <= 1 || isStill(now));
        }
        double safe = 1 - ATONCE / meeting;
        double able = Math.max(usualLoad * weight[b] / 3, safe * usual(b) / meeting);
        double shown = safe * costSum[b] / (busy[b] + SECOND / 2.0) / meeting;
        double rate = fallMultiple * Math.max(warmth(b, now) * able, shown);
        spent[b] = Math.max(0, spent[b] - rate * (now - spentAt[b]));
        spentAt[b] = now;
        double need = Math.max(load, meanCost), whole = Math.max(rate * fall, meanCost);
        return spent[b] + need <= Math.max(rate * fall / 3, Math.min(need, whole)); // or one, not heavy
    }

    /** What srvs did for us while we had something out there, and how near those elsewhere count. */
    private void learn() {
        long now = port.now();
        double pace = 0, time = 0, warm = 0, warmCost = 0;
        for (int b = 0; b < slots; b++) {
            settle(b, now);
            pace += costSum[b];
            time += busy[b] * weight[b];
        }
        for (int b : order) {                       // of those we meet: others get nothing from us
            if (ready[b] && !shut[b] && now - upSince[b] >= cold) {
                warm += weight[b];
                warmCost += costSum[b];
            }
        }
        usualLoad = warm > 0 ? warmCost * (1 - keep) / RECUT / warm : usualLoad;
        usualPace = time > 0 && pace > 0 ? pace / time : usualPace;
        double fleet = Arrays.stream(kindCost).sum() / Math.max(1, Arrays.stream(kindOut).sum());
        for (int k = 0; k < KINDS; k++) {
            speed[k] = fleet > 0 ? (kindCost[k] + SECOND * fleet) / ((kindOut[k] + SECOND) * fleet) : 1;
            kindOut[k] *= SLOWLY;
            kindCost[k] *= SLOWLY;
            kindBusy[k] *= SLOWLY;
        }
        keep = Math.pow(KEEP, Math.min(1, late.came * (1 - KEEP * KEEP) / Math.max(1, order.length)));
        for (double[] sum : new double[][] {costSum, busy, tries, fails}) {
            Arrays.setAll(sum, b -> sum[b] * keep);
        }
        traffic += (taken - takenThen - traffic) / Math.min(TRAFFIC, ++seconds);
        takenThen = taken;
        double excess = (late.sentLate - MISSED * late.sent) / (late.came + 2);
        refuse += (Math.max(0, Math.min(0.95, excess)) - refuse) / 2;
        refuse = refuse < TRACE ? 0 : refuse;       // halved for ever, it still denied what had little hope
        if (idleDenied > Math.max(4, (1 - KEEP * KEEP) * late.came / 2)) {
            port.report(new PolicyEvent(Kind.REJECTED_WHILE_IDLE, idleDenied,
                "in a second, while nothing was out; " + why));
        }
        idleDenied = 0;
        double missed = late.came > 0 ? late.missed / late.came : 0;
        abroad = Math.min(1, Math.max(0.02, abroad * (missed >= crossPrice / 4 ? 1 + 5 * missed : 0.9)));
        late.fade(KEEP * KEEP);
    }

    // The place in the order whose interval holds this cost; a value on a cut falls by covered share. The
    // req's own hint counts as one more in the window: a thin one cuts nearly at random, a full one sharply.
    private int place(int cost) {
        int n = order.length;
        if (cost <= 0) {
            return (int) (chance.draw() * n);
        }
        double own = expected(cost), lo = below[under(cost - 0.5)], hi = below[under(cost + 0.5)] + own;
        double at = (lo + chance.draw() * (hi - lo)) / (below[values.length] + own) * ends[n - 1];
        int i = Arrays.binarySearch(ends, at);
        return Math.min(n - 1, i < 0 ? -i - 1 : i + 1);
    }

    /** The cost a hint stands for: as far as lags bear it out, small hints hide more and large ones less. */
    private double expected(double hint) {
        return flat + scale * Math.pow(Math.min(hint, mostHint), trust);
    }

    // How steeply lags follow hints, in logs, beside reqs that half believe them. Lags above the fit hold
    // others' queues and count little.
    private void compare(int hint, long lag) {
        double x = Math.log(hint), y = Math.log(Math.max(1, lag));
        fit.add(x, y, fit.isAbove(x, y) ? QUEUED : 1);
        trust = Math.max(0.1, Math.min(1, reports ? fit.slope(2 * DOUBT, FULLY) : fit.slope(DOUBT, 0.5)));
    }

    /** How many hints of the window lie under this one; asked for halves, so none is met. */
    private int under(double value) { return -Arrays.binarySearch(values, value) - 1; }

    private void settle(int b, long now) {
        long time = now - busyFrom[b];
        if (out[b] > 0) {
            double work = reports ? time * out[b] : time;   // what waits is known: each is by itself
            busy[b] += work;
            kindBusy[kind[b]] += work * weight[b];
            kindOut[kind[b]] += time * out[b];
            silence[b] += time;
        }
        ghost[b] = Math.max(0, ghost[b] - time * pace(b));
        busyFrom[b] = now;
    }

    /** Cost this srv does for us in a unit of time while we have something out there. */
    private double pace(int b) {
        return (costSum[b] + SECOND / 2.0 * usual(b)) / (busy[b] + SECOND / 2.0);
    }

    /** The pace of its kind: one proxy of hundreds hardly sees a srv, but soon how fast each kind is. */
    private double usual(int b) {
        return weight[b] * (kindCost[kind[b]] + 2 * SECOND * usualPace) / (kindBusy[kind[b]] + 2 * SECOND);
    }

    /** The wait there: what is out from us, or what of others shows in lags well over the hints' own time. */
    private double waiting(int b) {
        if (isHeard(b)) {
            return ahead(b) / pace(b);
        }
        double own = Math.max(0, finish(b, (int) (-meanCost / balancers)));     // incident: idle srvs denied
        return seen == 0 || busy[b] < SECOND / 2 ? reports ? own : own * meeting
            : Math.max(own, finish(b, (int) meanCost) - (1 + 6.0 / balancers) * meanCost);
    }

    // Incident, servers overdriven for 20 s: no wait may stand; one mean req in work, and its way, is none.
    private boolean takes(int b, long left) {
        if (isStill(port.now()) && !isHeard(b)) {
            return true;
        }
        double own = meanCost / pace(b);
        boolean stands = stand[b] > Math.max(CALM * shortest, own);
        return waiting(b) <= (stands ? Math.min(left, Math.max(CALM * left, own)) : left);
    }

    /** Nothing is out, and was sent for a target: whatever is learnt, one req may find out. */
    private boolean isStill(long now) { return outs == 0 && now - sentAt >= shortest; }

    /** How long a cost given to this srv now would take, by what this proxy has out there. */
    private double finish(int b, double cost) {
        settle(b, port.now());
        return ((isHeard(b) ? ahead(b) : outCost[b] + ghost[b]) + cost) / pace(b);
    }

    /** A shut srv is asked again now and then, by a light req that may move on; an answer opens it. */
    private int trial(SimulatedHistory c, long now) {
        if (replayables && c.req.requestClass().idempotency() != Idempotency.IDEMPOTENT || !c.legs.isEmpty()
                || c.load() > meanCost || taken - triedAt < TRIALS) {
            return -1;
        }
        for (int b : order) {
            if (shut[b] && now >= trialAt[b] && ourTurn(b, now) && bears(b, c.load(), now)) {
                triedAt = taken;
                trialAt[b] = now + trialGap[b];
                trialGap[b] = Math.min(4 * SECOND, 2 * trialGap[b]);
                return b;
            }
        }
        return -1;
    }

    /** Silence that speaks against a srv: longer where little is out there, or where much work is. */
    private double patience(int b) { return shortest / 2.0 + 6 * finish(b, (int) meanCost) / (1 + out[b]); }

    /** The srv for a req's next dispatch, or -1: its interval's, or the next in order not passed over. */
    private int pick(SimulatedHistory c) {
        int n = order.length;
        long now = port.now();
        int trial = shuts > 0 ? trial(c, now) : -1;
        if (trial >= 0) {
            return trial;
        }
        int from = c.from(n);
        long left = c.left(now);
        int spare = -1, worst = 5, looks = LOOKS;
        double soonest = 0;
        for (int k = 0; k < n && looks > 0; k++) {
            int b = order[(from + k) % n];
            if (!ready[b] || shut[b] && shuts < n || !c.allows(b, now) || !ourTurn(b, now)
                    || !bears(b, c.load(), now) || out[b] >= Math.max(1, room[b])
                    || k > 0 && health(b) <= FLOOR && c.req.requestClass().idempotency() == Idempotency.NON_IDEMPOTENT) {
                continue;
            }
            looks--;
            boolean crowded = heardAt[b] > 0 && ahead(b) > meanCost / 4 || !isHeard(b)
                && outCost[b] > 1.2 * allOut * share[b] / ends[n - 1] + meanCost / 4;
            boolean dear = zoneOf[b] != zone && (reports || c.worth() < DEAR * crossPrice * meanWorth);
            double finish = finish(b, Math.max(c.load(), c.req.costHint()));
            crowded |= finish + c.req.costHint() / pace(b) > left;
            boolean vain = finish > left || k > 0 && health(b) <= FLOOR;    // idle for its errors: no refuge
            int rank = !takes(b, left) ? 4 : vain ? 3 : dear ? 2 : crowded ? 1 : 0;
            if (rank == 0) {
                return b;
            }
            if (rank < worst || rank == worst && (rank > 2 || reports) && finish < soonest) {
                worst = rank;
                soonest = finish;
                spare = b;
            }
        }
        for (int k = 0; spare < 0 && k < n && isStill(now); k++) {
            int b = order[(from + k) % n];          // the others are cold: one that is shut may be well again
            spare = c.allows(b, now) && ourTurn(b, now) && bears(b, c.load(), now) ? b : -1;
        }
        return spare;
    }

    // ---- a req's course

    public RequestHandle accept(PendingRequest req) {
        if (req.costHint() > 0) {
            window[(int) (seen++ % HINTS)] = req.costHint();
            began |= seen == 1 && taken > 0;
            if (!req.isClientRetry() || lately == 0) {        // grown overload: one heavy req, tried again and again
                double log = Math.log(Math.min(req.costHint(), mostHint));
                lately = lately == 0 ? log : lately + (log - lately) / LATELY;
            }
            if ((seen & seen - 1) == 0 || moved()) {
                recut();                            // a window that has doubled, or moved to another unit
            }
        }
        SimulatedHistory c = new SimulatedHistory(req);
        meanWorth += (c.worth() - meanWorth) * Math.max(1.0 / HINTS, 1.0 / ++taken);
        late.came++;
        c.ask();
        return c;
    }

    private void sweepAndWait() {
        long now = port.now();
        for (int b : order) {
            stand[b] += (waiting(b) - stand[b]) * shortest / 10 / SECOND;
            if (out[b] > 0 && silence[b] > patience(b)) {
                shut(b, true, out[b] + " out, silent for " + (long) silence[b] / 10 + " ms");
            }
        }
        List.copyOf(open).forEach(c -> c.look(now));
        for (int b = 0; b < slots; b++) {
            if (out[b] == 0 && restAt[b] > 0 && now - restAt[b] >= keepOpen) {
                restAt[b] = 0;
                port.closeIdleConnections(b);
            }
        }
        port.schedule(shortest / 10, this::sweepAndWait);
    }

    private void shut(int b, boolean now, String why) {
        if (shut[b] != now) {
            shut[b] = now;
            shuts += !ready[b] ? 0 : now ? 1 : -1;
            trialGap[b] = shortest;
            trialAt[b] = port.now() + shortest;
            port.report(new PolicyEvent(now ? Kind.BACKEND_EJECTED : Kind.BACKEND_REINSTATED, id[b], why));
        }
    }

    /** One open req: its dispatches and what may still be done for it. */
    private final class SimulatedHistory implements RequestHandle {
        final PendingRequest req;
        private final double asked, unitThen = unit;
        private final int most = maxDispatches;
        private boolean over, streaming;
        private int live, unheard, from = -1;
        final List<Leg> legs = new ArrayList<>(2);

        SimulatedHistory(PendingRequest req) {
            this.req = req;
            asked = (int) Math.max(1, req.costHint() > 0 ? expected(req.costHint()) : meanCost);
            open.add(this);
        }

        /** Its interval's place in the order: the one that was asked, later drawn anew. */
        int from(int n) {
            from = from < 0 || !legs.isEmpty() ? place(req.costHint()) : from;
            return from % n;
        }

        /** Asks its interval's srv and the next how busy they are; held for that no longer than a moment. */
        void ask() {
            for (int k = 0, n = order.length; k < n && unheard < asks; k++) {
                int b = order[(from(n) + k) % n];
                if (ready[b] && !shut[b]) {
                    unheard++;
                    port.probeLoad(b, (ok, lag) -> heard(1));
                }
            }
            if (unheard > 0) {
                port.schedule(shortest / 30, () -> heard(unheard));
            } else {
                next();
            }
        }

        private void heard(int answers) {
            unheard -= answers;
            if (answers > 0 && unheard == 0 && !over) {
                next();
            }
        }

        /** Its cost in the unit of now. */
        double load() { return asked * unit / unitThen; }

        /** Not where it was last. Rule two: once it may have run, only where a repeat does no harm. */
        boolean allows(int b, long now) {
            RequestClass set = req.requestClass();
            for (Leg leg : legs) {
                if (leg.b == b && leg.number == legs.size() - 1
                        || leg.mayHaveRun && set.idempotency() != Idempotency.IDEMPOTENT
                        && (set.idempotency() == Idempotency.NON_IDEMPOTENT || now >= leg.sent + set.deduplicationWindow()
                        || set.deduplicationScope() == DeduplicationScope.ZONE && leg.inZone != zoneOf[b]
                        || set.deduplicationScope() == DeduplicationScope.CELL && leg.inPack != packOf[b])) {
                    return false;
                }
            }
            return true;
        }

        boolean mayDeny() {
            RequestClass set = req.requestClass();
            return set.idempotency() == Idempotency.IDEMPOTENT || legs.stream().noneMatch(leg -> leg.mayHaveRun)
                || set.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && set.deduplicationScope() == DeduplicationScope.ALL;
        }

        /** The next dispatch, or the final answer where none can help any more. */
        void next() {
            long now = port.now();
            int b = order.length > 0 && legs.size() < most && now < req.deadline() ? pick(this) : -1;
            boolean shed = legs.isEmpty() && refuse > 0 && !isStill(now)
                && chance.draw() < Math.pow(refuse, hope(now));
            boolean hopeless = reports && b >= 0 && load() > 2 * meanCost && load() / pace(b) > req.deadline() - now
                && (vainSince == 0 || now - vainSince < shortest);      // the module may be wrong for so long
            vainSince = hopeless && vainSince == 0 ? now : vainSince;
            if (b >= 0 && !hopeless && !shed && takes(b, left(now))) {
                send(b);
            } else if (live == 0) {
                if (legs.isEmpty() && outs == 0) {
                    idleDenied++;
                    why = order.length == 0 ? "no srv is ready" : b < 0 ? "all are cold, shut or full"
                        : shed ? "a part is denied, as too many ended late" : "each wait is judged too long";
                }
                giveUp();
            }
        }

        /** Its value for its cost against the mean, the less the surer it is to be late. */
        double hope(long now) {
            double inTime = left(now) * late.cost / (late.time * load() + 1);
            return Math.min(2, inTime * inTime) * req.requestClass().priorityWeight() * meanCost / meanWorth;
        }

        double worth() { return req.requestClass().priorityWeight() * load(); }

        long left(long now) { return Math.min(req.deadline(), req.arrivedAt() + req.requestClass().latencyObjective()) - now; }

        void send(int b) {
            Leg leg = new Leg(legs.size(), b);
            held[b]++;
            legs.add(leg);
            live++;
            settle(b, leg.sent);
            out[b]++;
            outs++;
            sentAt = leg.sent;
            vainSince = 0;
            outCost[b] += load();
            allOut += load();
            spent[b] += Math.max(load(), meanCost);
            port.sendAttempt(req, b, req.deadline() - leg.sent, (how, lag, ended) -> result(leg, how, lag, ended));
        }

        void result(Leg leg, AttemptOutcome how, long lag, boolean ended) {
            int b = leg.b;
            leg.isOut = false;
            leg.mayHaveRun = !how.neverRan();
            live--;
            settle(b, port.now());
            out[b]--;
            outs--;
            held[b] = Math.max(0, held[b] - 1);
            restAt[b] = port.now();
            double load = load();
            outCost[b] -= load;
            allOut -= load;
            late.time += port.now() - leg.sent;
            if (how == AttemptOutcome.CANCELLED || how == AttemptOutcome.TIMEOUT) {
                ghost[b] += load;
            }
            if (how != AttemptOutcome.CANCELLED && how != AttemptOutcome.DISCARDED) {
                tries[b]++;
                fails[b] += how == AttemptOutcome.DONE ? 0 : 1;
            }
            if (how == AttemptOutcome.FULL || how == AttemptOutcome.NO_CONNECT) {
                room[b] = Math.min(room[b], out[b]);
                // Incident: 4 dispatches a req into closed doors. After a wait the srv only gave up on it.
                if (out[b] == 0 && lag < CALM * shortest) {
                    shut(b, true, "turned away with nothing out");
                }
            }
            if (how == AttemptOutcome.DONE) {
                if (leg.alone && req.costHint() > 0) {
                    compare(req.costHint(), port.now() - leg.sent);
                }
                room[b] += 1 / Math.max(1, room[b]);
                costSum[b] += load + leg.ahead;     // as the time it took holds the wait too
                late.cost += load;
                kindCost[kind[b]] += load + leg.ahead;
            }
            if (how == AttemptOutcome.DONE || how == AttemptOutcome.ERROR) {
                silence[b] = 0;
                shut(b, false, "it answers");
            }
            if (over) {
                return;
            } else if (ended) {
                close(how == AttemptOutcome.DONE && port.now() - req.arrivedAt() <= req.requestClass().latencyObjective());
            } else if (live == 0 && (how == AttemptOutcome.TIMEOUT || port.now() >= req.deadline())) {
                giveUp();
            } else if (live == 0) {
                next();
            }
        }

        void giveUp() {
            close(false);
            if (mayDeny()) {
                long left = left(port.now());
                port.reject(req, left < req.requestClass().latencyObjective() / 4 ? maxWait : Math.min(maxWait, left / 4));
            } else {
                port.fail(req);
            }
        }

        void close(boolean good) {
            over = true;
            late.closed(!legs.isEmpty(), good);
            open.remove(this);
            legs.forEach(this::callOff);
        }

        void callOff(Leg leg) {
            if (leg.isOut && !leg.called && mayCancel) {
                leg.called = true;
                port.cancelAttempt(req, leg.number);
            }
        }

        /** A req stuck at a shut srv moves on: by a copy, or else by calling the first off. */
        void look(long now) {
            if (!streaming && req.requestClass().lateWeight() == 0 && left(now) <= shortest / 10
                    && (now + maxWait >= req.arrivedAt() + req.requestClass().clientTimeout() || chance.draw() < refuse)) {
                giveUp();
                return;
            }
            if (live != 1 || streaming || legs.size() >= most) {
                return;
            }
            for (Leg leg : legs) {
                boolean slow = mayDuplicate && refuse == 0 && out[leg.b] == 1 && req.requestClass().lateWeight() == 0
                    && now - req.arrivedAt() > req.requestClass().latencyObjective() / 3 * (1 + 3.0 / balancers);
                if (leg.isOut && (shut[leg.b] || slow) && !leg.called && now - leg.sent >= shortest / 4
                        && req.requestClass().idempotency() != Idempotency.NON_IDEMPOTENT) {
                    if (mayDuplicate) {
                        next();
                    } else {
                        callOff(leg);
                    }
                    return;
                }
            }
        }

        @Override
        public void streamingStarted(int leg) { streaming = true; }

        @Override
        public void clientDisconnected() {
            if (!over) {
                close(false);
            }
        }
    }

    /** One dispatch of a req. */
    private final class Leg {
        final int number, b;
        final long sent = port.now();
        final int inZone, inPack;
        final boolean alone;
        final double ahead;
        boolean isOut = true, mayHaveRun = true, called;

        Leg(int number, int b) {
            this.number = number;
            this.b = b;
            alone = out[b] == 0;
            ahead = isHeard(b) ? ahead(b) : 0;
            inZone = zoneOf[b];
            inPack = packOf[b];
        }
    }
}
