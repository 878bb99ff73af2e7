package wheattrack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;
import wheattrack.Rules;
import wheattrack.config.BadConfig;
import wheattrack.config.Config;
import wheattrack.config.Json;
import wheattrack.config.Settings;
import wheattrack.core.Fleet;
import wheattrack.core.Slots;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.port.Outcome;
import wheattrack.port.Port;
import wheattrack.port.Req;
import wheattrack.port.RuleSet;

/** The module's port on sockets: reqs, dispatches and the list; it decides nothing. */
final class Proxy implements Port {
    private static final Logger LOG = Logger.getLogger("wheattrack");
    /** Of a req's time, kept back so that its answer is out before the client stops waiting. */
    private static final long WRITE_PART = 200;
    private static final long GUARD = 50;

    private final Loop loop;
    private final AsynchronousChannelGroup group;
    private final Dialler dialler;
    private final InetSocketAddress discovery;
    private final List<?> zones;
    private final List<?> kinds;
    private final Map<String, RuleSet> sets = new HashMap<>();
    private final Slots<Guest> guests = new Slots<>();
    private final Fleet<String, Backend> fleet;
    private final Rules rules;
    private final boolean reports;
    private final long probeTimeout;
    private Front front;
    private Watch watch;
    private long version = -1;

    Proxy(Loop loop, AsynchronousChannelGroup group, Dialler dialler, InetSocketAddress discovery,
            Settings settings, long seed, Map<String, Object> known) {
        this.loop = loop;
        this.group = group;
        this.dialler = dialler;
        this.discovery = discovery;
        zones = settings.list("zones");
        kinds = settings.list("kinds");
        fleet = new Fleet<>((id, at) -> new Backend(id, at, dialler));
        RuleSet[] all = settings.ruleSets();
        List<Settings> named = settings.parts("ruleSets");
        for (int i = 0; i < all.length; i++) {
            sets.put(named.get(i).word("name"), all[i]);
        }
        reports = !settings.word("report.how", "none").equals("none");
        probeTimeout = settings.time("limits.dialTimeout", 250_000);
        version = new Settings(known).whole("rev", -1);
        rules = settings.rules(this, seed, all, true);
        if (!known.isEmpty()) {
            list(new Settings(known), true);
        }
    }

    void from(Front clients) {
        front = clients;
    }

    /** Whether a list is there to serve by, be it an old one. */
    boolean hasList() {
        return version >= 0;
    }

    int open() {
        return guests.size();
    }

    // ---- reqs

    void take(Client client, Request request) {
        Wire.Call call;
        try {
            call = Wire.call(request, sets);
        } catch (Wire.Unfit e) {
            front.refused(e.status, e.getMessage());
            client.answer(Wire.plain(e.status, e.getMessage(), front.keeps(request.keep())));
            return;
        }
        Guest guest = new Guest(client, call, this::left);
        guest.slot = guests.add(guest);
        client.guest = guest;
        long due = loop.now() + call.timeout() - Math.max(10, call.timeout() / WRITE_PART);
        guest.req = new Req(call.ruleSet(), 0, 0, loop.now(), due, call.cost(), call.again(), guest);
        guest.guard = loop.after(due + GUARD - loop.now(), () -> forgotten(guest));
        guest.held = rules.arrive(guest.req);
    }

    /** Only a failure of the program leaves a req open past its due; even then it has its answer. */
    private void forgotten(Guest guest) {
        LOG.severe("a req stood open past its due");
        guest.dispatches.forEach(d -> d.giveUp(Outcome.TIMEOUT));
        if (!guest.over) {
            abort(guest.req);
        }
    }

    private void left(Guest guest) {
        if (!guest.over) {
            close(guest);
            if (guest.held != null) {
                guest.held.left();
            }
        }
    }

    private void close(Guest guest) {
        guest.over = true;
        guests.remove(guest.slot);
        loop.cancel(guest.guard);
        guest.dispatches.stream().filter(d -> !d.isBegun()).forEach(d -> d.giveUp(Outcome.MOOT));
    }

    private void answer(Guest guest, Response response) {
        close(guest);
        guest.client.answer(response);
    }

    private boolean keeps(Guest guest) {
        return front.keeps(guest.call.request().keep());
    }

    /** One dispatch of a req; its outcome goes to the module as a step of its own. */
    private final class Leg extends Dispatch {
        private final Guest guest;
        private final Result next;

        Leg(Guest guest, Backend backend, Request request, Result next) {
            super(backend, request, loop.now());
            this.guest = guest;
            this.next = next;
        }

        @Override
        protected void ended(Outcome how, Response answer) {
            if (how == Outcome.DONE && !guest.over) {
                answer(guest, Wire.done(answer, keeps(guest)));
            }
            loop.step(() -> next.ended(how, loop.now() - sent, guest.over));
        }
    }

    @Override
    public void dispatch(Req req, int backend, long tryFor, Result next) {
        Guest guest = (Guest) req.door;
        long wait = tryFor == 0 ? req.due - loop.now() : tryFor;
        Leg leg = new Leg(guest, fleet.at(backend), Wire.onward(guest.call.request(), wait), next);
        leg.latest = latest(guest);
        guest.dispatches.add(leg);
        leg.timeout = loop.after(wait, () -> leg.giveUp(Outcome.TIMEOUT));
        leg.backend.carry(leg);
    }

    /** The module keeps to a uniqued req's window as it decides; a connection may take its time after. */
    private static long latest(Guest guest) {
        if (guest.req.ruleSet.effect() != RuleSet.Effect.UNIQUED) {
            return Long.MAX_VALUE;
        }
        return guest.dispatches.stream().filter(Dispatch::isBegun).mapToLong(d -> d.sent).min()
            .orElse(Long.MAX_VALUE / 2) + guest.req.ruleSet.window();
    }

    @Override
    public void cancel(Req req, int leg) {
        ((Guest) req.door).dispatches.get(leg).giveUp(Outcome.CANCELLED);
    }

    @Override
    public void deny(Req req, long wait) {
        Guest guest = (Guest) req.door;
        answer(guest, Wire.denied(wait, keeps(guest)));
    }

    @Override
    public void abort(Req req) {
        Guest guest = (Guest) req.door;
        answer(guest, Wire.plain(loop.now() >= req.due ? 504 : 502, "given up", keeps(guest)));
    }

    @Override
    public void probe(int backend, Heard next) {
        Dispatch probe = new Dispatch(fleet.at(backend), Wire.probe(reports), loop.now()) {
            @Override
            protected void ended(Outcome how, Response answer) {
                loop.step(() -> next.load(how == Outcome.DONE, loop.now() - sent, null));
            }
        };
        probe.timeout = loop.after(probeTimeout, () -> probe.giveUp(Outcome.TIMEOUT));
        probe.backend.carry(probe);
    }

    // ---- clock and log

    @Override
    public long now() {
        return loop.now();
    }

    @Override
    public void later(long delay, Runnable next) {
        loop.after(delay, next);
    }

    @Override
    public void log(String text) {
        LOG.info(text);
    }

    // ---- the list

    @Override
    public void follow() {
        if (watch != null && !watch.isClosed()) {
            return;
        }
        try {
            watch = Watch.open(loop, group, discovery, version, this::told, this::watchFailed);
        } catch (IOException e) {
            watchFailed(e.toString());
        }
    }

    @Override
    public void fetch() {
        if (watch != null) {
            watch.close();
        }
        version = -1;
        follow();
    }

    private void watchFailed(String why) {
        LOG.info("watch on the list: " + why);
        rules.listFailed();
    }

    private void told(String line) {
        try {
            list(new Settings(Json.object(line)), false);
        } catch (IOException | BadConfig e) {
            String fault = String.valueOf(e.getMessage()).split("\n")[0];
            watch.fail("skipped news that can't be read: " + fault);      // and asked for again
        }
    }

    private void list(Settings news, boolean saved) {
        List<Settings> entries = news.parts("targets");
        long rev = news.whole("rev", version);
        if (news.flag("all")) {
            Set<String> named = new HashSet<>();
            for (Settings entry : entries) {
                named.add(entry.word("uid", ""));
            }
            fleet.missing(named).forEach(this::gone);
        }
        for (Settings entry : entries) {
            try {
                entry(entry);
            } catch (BadConfig e) {
                LOG.warning("skipped an entry of the list: " + e.getMessage());
            }
        }
        version = rev;
        rules.listed(saved);
    }

    private void gone(Backend backend) {
        if (backend != null && fleet.left(backend)) {
            rules.gone(backend.at);
            backend.leaves();
        }
    }

    private void entry(Settings e) {
        String id = e.word("uid");
        String state = e.word("state");
        if (state.equals("DELETED")) {
            gone(fleet.find(id));
            return;
        }
        if (!state.equals("SERVING") && !state.equals("DRAINING")) {
            throw new BadConfig("state", "unknown: " + state);
        }
        InetSocketAddress address = Config.address("endpoint", e.word("endpoint"));
        long up = (long) (e.number("boot_ms", 0) * 10);
        int zone = zones.indexOf(e.word("az", ""));
        int kind = Math.max(0, kinds.indexOf(e.word("model", "")));
        int pack = e.count("pod_group", 0);
        double weight = e.number("capacity_hint", 1);
        Backend backend = fleet.admit(id);
        boolean fresh = fleet.met(backend);
        backend.serves(address, up);
        boolean ready = state.equals("SERVING");
        rules.entry(backend.at, number(id), ready, zone, pack, kind, weight,
            up <= 0 ? Long.MIN_VALUE / 2 : up, fresh);
        if (!ready) {
            backend.leaves();
        }
        if (fresh) {
            LOG.info("met srv " + number(id) + ": " + id + " at " + e.word("endpoint"));
        }
    }

    /** A number for the id, the same at every proxy: the module orders srvs by it and names them so. */
    static long number(String id) {
        String tail = id.substring(id.lastIndexOf('-') + 1);
        if (tail.matches("[0-9a-f]{1,15}")) {
            return Long.parseLong(tail, 16);
        }
        var crc = new java.util.zip.CRC32();
        crc.update(id.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
