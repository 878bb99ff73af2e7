package wheattrack.net;

import java.math.BigDecimal;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.RequestClass;
import wheattrack.config.Settings;
import wheattrack.http.Decoder;
import wheattrack.http.Headers;
import wheattrack.http.Request;
import wheattrack.http.Response;

/** The protocol's names, turned into ours and back. */
final class ProtocolMapping {
  static final String READY = "/ready";
  private static final String HEALTH = "/health";
  private static final String LOAD = "/status/load";
  private static final String ID = "Request-Id";
  private static final String RULE_SET = "Request-Class";
  private static final String TIMEOUT = "Request-Timeout";
  private static final String AGAIN = "Client-Retry";
  private static final String HINT = "Work-Hint";
  private static final String NOT_RUN = "Not-Started";
  private static final Set<String> HOP =
      Set.of(
          "connection",
          "keep-alive",
          "te",
          "trailer",
          "upgrade",
          "transfer-encoding",
          "content-length",
          "expect",
          "proxy-connection",
          "proxy-authorization",
          "request-timeout");
  private static final byte[] NOTHING = {};
  private static final Pattern FIGURE = Pattern.compile("[0-9]+(\\.[0-9]*)?");
  private static final Pattern AFTER_NAME = Pattern.compile("[/?]");
  private static final long MOST_HINT = (long) Integer.MAX_VALUE * Settings.UNIT;
  private static final int MOST_FIGURE = 20; // digits, and a point

  /** What a client asks, in our words. */
  record Call(
      String id,
      Request request,
      String name,
      RequestClass ruleSet,
      long timeout,
      int cost,
      boolean again) {}

  /** A request that cannot be taken; status tells the client. */
  static final class Unfit extends Exception {
    private static final long serialVersionUID = 1;
    final int status;

    Unfit(int status, String fault) {
      super(fault);
      this.status = status;
    }
  }

  private ProtocolMapping() {}

  static Call call(Request r, Map<String, RequestClass> sets) throws Unfit {
    Headers h = r.headers();
    String id = h.first(ID);
    if (id == null || id.isEmpty()) {
      throw new Unfit(400, "no " + ID);
    }
    String name = name(r);
    RequestClass set = sets.get(name);
    if (set == null) {
      throw new Unfit(404, "unknown " + RULE_SET + " " + name);
    }
    long timeout = figure(h, TIMEOUT, 10_000, set.clientTimeout(), set.clientTimeout());
    int cost = Settings.cost(figure(h, HINT, 1, MOST_HINT, 0));
    return new Call(id, r, name, set, timeout, cost, "1".equals(h.first(AGAIN)));
  }

  /** The rule set that the request names. */
  static String name(Request r) {
    String name = r.headers().first(RULE_SET);
    return name != null ? name : AFTER_NAME.split(r.target().substring(1), 2)[0];
  }

  private static long figure(Headers h, String name, long times, long most, long otherwise)
      throws Unfit {
    String text = h.first(name);
    if (text == null) {
      return otherwise;
    }
    if (text.length() > MOST_FIGURE || !FIGURE.matcher(text).matches()) {
      throw new Unfit(400, "bad " + name);
    }
    BigDecimal figure = new BigDecimal(text).multiply(BigDecimal.valueOf(times));
    return figure.min(BigDecimal.valueOf(most)).longValue();
  }

  /** The request as a backend gets it, told how long the proxy will wait. */
  static Request onward(Request r, long wait) {
    Headers out = passedOn(r.headers()).with(TIMEOUT, seconds(wait));
    return new Request(r.method(), r.target(), out, true, r.body(), r.remainingBody(), true);
  }

  /** All but what speaks of one connection only, or is said anew. */
  private static Headers passedOn(Headers from) {
    Headers out = new Headers();
    for (int i = 0; i < from.size(); i++) {
      String name = from.name(i);
      if (!HOP.contains(name.toLowerCase(Locale.ROOT)) && !from.containsToken("Connection", name)) {
        out.with(name, from.value(i));
      }
    }
    return out;
  }

  static Request probe(boolean reports) {
    return new Request(
        "GET",
        reports ? LOAD : HEALTH,
        new Headers().with("Host", "service.internal"),
        true,
        NOTHING);
  }

  static AttemptOutcome outcome(Response r) {
    if (r.status() == 200) {
      return AttemptOutcome.DONE;
    }
    boolean no = r.status() == 503 || r.status() == 504;
    return no && "1".equals(r.headers().first(NOT_RUN))
        ? AttemptOutcome.FULL
        : AttemptOutcome.ERROR;
  }

  /**
   * Whether a backend says that the request itself is at fault, so that no other could use it
   * either.
   */
  static boolean isUnfit(Response r) {
    return r != null && r.status() >= 400 && r.status() < 500;
  }

  /** The answer as a client gets it; where its length is not known, in chunks or until the end. */
  static Response done(Response from, boolean keep, boolean chunks) {
    Headers out = passedOn(from.headers());
    if (from.remainingBody() == Response.NO_BODY
        && from.headers().first("Content-Length") != null) {
      out.with("Content-Length", from.headers().first("Content-Length"));
    }
    boolean open =
        from.remainingBody() == Decoder.CHUNKED || from.remainingBody() == Decoder.UNTIL_CLOSE;
    long more = !open ? from.remainingBody() : chunks ? Decoder.CHUNKED : Decoder.UNTIL_CLOSE;
    return new Response(200, out, keep && more != Decoder.UNTIL_CLOSE, from.body(), more);
  }

  static Response denied(long wait, boolean keep) {
    Headers out = new Headers();
    if (wait > 0) {
      out.with("Retry-After", seconds(wait));
    }
    return new Response(503, out, keep, NOTHING);
  }

  static Response plain(int status, String text, boolean keep) {
    return Response.text(status, text, keep);
  }

  private static String seconds(long tenths) {
    return BigDecimal.valueOf(Math.max(0, tenths), 4).toPlainString();
  }
}
