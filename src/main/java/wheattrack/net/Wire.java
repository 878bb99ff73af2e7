package wheattrack.net;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import wheattrack.config.Settings;
import wheattrack.http.Headers;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.port.Outcome;
import wheattrack.port.RuleSet;

/** The protocol's names, turned into ours and back. */
final class Wire {
    static final String READY = "/ready";
    private static final String HEALTH = "/health";
    private static final String LOAD = "/status/load";
    private static final String ID = "Request-Id";
    private static final String RULE_SET = "Request-Class";
    private static final String TIMEOUT = "Request-Timeout";
    private static final String AGAIN = "Client-Retry";
    private static final String HINT = "Work-Hint";
    private static final String NOT_RUN = "Not-Started";
    private static final Set<String> HOP = Set.of("connection", "keep-alive", "te", "trailer", "upgrade",
        "transfer-encoding", "content-length", "expect", "proxy-connection", "proxy-authorization",
        "request-timeout");
    private static final byte[] NOTHING = {};
    private static final long MOST_COST = Integer.MAX_VALUE / 4;
    private static final int MOST_FIGURE = 20;      // digits, and a point

    /** What a client asks, in our words. */
    record Call(Request request, RuleSet ruleSet, long timeout, int cost, boolean again) {
    }

    /** A request that cannot be taken; status tells the client. */
    static final class Unfit extends Exception {
        private static final long serialVersionUID = 1;
        final int status;

        Unfit(int status, String fault) {
            super(fault);
            this.status = status;
        }
    }

    private Wire() {
    }

    static Call call(Request r, Map<String, RuleSet> sets) throws Unfit {
        Headers h = r.headers();
        String id = h.first(ID);
        if (id == null || id.isEmpty()) {
            throw new Unfit(400, "no " + ID);
        }
        String first = r.target().substring(1).split("[/?]", 2)[0];
        String name = h.first(RULE_SET) == null ? first : h.first(RULE_SET);
        RuleSet set = sets.get(name);
        if (set == null) {
            throw new Unfit(404, "unknown " + RULE_SET + " " + name);
        }
        long timeout = h.first(TIMEOUT) == null ? set.timeout()
            : figure(TIMEOUT, h.first(TIMEOUT), 10_000, set.timeout());
        long hint = h.first(HINT) == null ? 0 : figure(HINT, h.first(HINT), 1, MOST_COST * Settings.UNIT);
        long cost = (hint + Settings.UNIT - 1) / Settings.UNIT;
        return new Call(r, set, timeout, (int) cost, "1".equals(h.first(AGAIN)));
    }

    private static long figure(String name, String text, long times, long most) throws Unfit {
        if (text.length() > MOST_FIGURE || !text.matches("[0-9]+(\\.[0-9]*)?")) {
            throw new Unfit(400, "bad " + name);
        }
        BigDecimal figure = new BigDecimal(text).multiply(BigDecimal.valueOf(times));
        return figure.min(BigDecimal.valueOf(most)).longValue();
    }

    /** The request as a backend gets it, told how long the proxy will wait. */
    static Request onward(Request r, long wait) {
        Headers out = passedOn(r.headers()).with(TIMEOUT, seconds(wait));
        return new Request(r.method(), r.target(), out, true, r.body());
    }

    /** All but what speaks of one connection only, or is said anew. */
    private static Headers passedOn(Headers from) {
        Headers out = new Headers();
        for (int i = 0; i < from.size(); i++) {
            String name = from.name(i);
            if (!HOP.contains(name.toLowerCase(Locale.ROOT)) && !from.lists("Connection", name)) {
                out.with(name, from.value(i));
            }
        }
        return out;
    }

    static Request probe(boolean reports) {
        return new Request("GET", reports ? LOAD : HEALTH, new Headers().with("Host", "service.internal"),
            true, NOTHING);
    }

    static Outcome outcome(Response r) {
        if (r.status() == 200) {
            return Outcome.DONE;
        }
        boolean no = r.status() == 503 || r.status() == 504;
        return no && "1".equals(r.headers().first(NOT_RUN)) ? Outcome.FULL : Outcome.ERROR;
    }

    static Response done(Response from, boolean keep) {
        return new Response(200, passedOn(from.headers()), keep, from.body());
    }

    static Response denied(long wait, boolean keep) {
        Headers out = new Headers();
        if (wait > 0) {
            out.with("Retry-After", seconds(wait));
        }
        return new Response(503, out, keep, NOTHING);
    }

    static Response plain(int status, String text, boolean keep) {
        byte[] body = (text + "\n").getBytes(StandardCharsets.UTF_8);
        Headers headers = new Headers().with("Content-Type", "text/plain; charset=utf-8");
        return new Response(status, headers, keep, body);
    }

    private static String seconds(long tenths) {
        return BigDecimal.valueOf(Math.max(0, tenths), 4).toPlainString();
    }
}
