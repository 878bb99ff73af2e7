package wheattrack.net;

import java.nio.ByteBuffer;
import java.util.Map;
import wheattrack.Rules;
import wheattrack.config.Settings;
import wheattrack.core.Deadlines;
import wheattrack.core.Fleet;
import wheattrack.http.BadMessage;
import wheattrack.http.Encoder;
import wheattrack.http.Headers;
import wheattrack.http.Request;
import wheattrack.http.RequestDecoder;
import wheattrack.http.Response;
import wheattrack.http.ResponseDecoder;
import wheattrack.port.Outcome;
import wheattrack.port.Port;
import wheattrack.port.Req;
import wheattrack.port.RuleSet;

/**
 * Runs the code in before the first req: canned messages go through parsers, a module of its own
 * and the encoder, with no socket and a clock of its own; each dispatch is done at the next tick.
 */
final class WarmUp implements Port {
  private static final int SRVS = 8;
  private static final long TICK = 20;

  private final Map<String, RuleSet> sets;
  private final Deadlines deadlines = new Deadlines();
  private final RequestDecoder in = new RequestDecoder();
  private final ResponseDecoder back = new ResponseDecoder();
  private final Rules rules;
  private long now = 1;

  WarmUp(Settings settings) {
    RuleSet[] all = settings.ruleSets();
    sets = settings.byName(all);
    rules = settings.rules(this, 1, all, false);
    for (int b = 0; b < SRVS; b++) {
      rules.entry(b, b, true, 0, 0, 0, 1, Fleet.LONG_AGO, true);
    }
    rules.listed(false);
  }

  /**
   * Runs each rule set once, and on until so many reqs are through or the time, in nanoseconds, is
   * over; says how many were.
   */
  int run(int most, long nanos) {
    long until = System.nanoTime() + nanos;
    int n = 0;
    try {
      do {
        for (String name : sets.keySet()) {
          one(name, n++);
        }
        now += TICK;
        for (Runnable due = deadlines.due(now); due != null; due = deadlines.due(now)) {
          due.run();
        }
      } while (n < most && System.nanoTime() < until);
    } catch (BadMessage | Wire.Unfit e) {
      throw new IllegalStateException("a canned message is not taken", e);
    }
    return n;
  }

  private void one(String name, int n) throws BadMessage, Wire.Unfit {
    Headers headers =
        new Headers()
            .with("Host", "warm.up")
            .with("Request-Id", Integer.toHexString(n))
            .with("Request-Class", name)
            .with("Request-Timeout", "1.000")
            .with("Work-Hint", Integer.toString(1000 + n * 7919 % 50_000))
            .with("Request-Info", "a=1,b=2");
    ByteBuffer bytes =
        Encoder.request(
            new Request(n % 2 == 0 ? "POST" : "GET", "/" + name, headers, true, new byte[n % 512]));
    while (bytes.hasRemaining()) {
      ByteBuffer room = in.room();
      while (bytes.hasRemaining() && room.hasRemaining()) {
        room.put(bytes.get());
      }
    }
    Wire.Call call = Wire.call(in.next(), sets);
    rules.arrive(
        new Req(call.ruleSet(), 0, 0, now, now + call.timeout(), call.cost(), call.again(), call));
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void dispatch(Req req, int backend, long tryFor, Result next) {
    Wire.Call call = (Wire.Call) req.door;
    Encoder.request(Wire.onward(call.request(), tryFor));
    long sent = now;
    deadlines.add(now + 1, () -> next.ended(answer(call.request().body()), now - sent, true));
  }

  private Outcome answer(byte[] body) {
    Headers headers = new Headers().with("Content-Type", "application/json");
    back.room()
        .put(Encoder.response(new Response(200, headers, true, new byte[body.length % 200])));
    try {
      Response answer = back.next();
      Encoder.response(Wire.done(answer, true, true));
      return Wire.outcome(answer);
    } catch (BadMessage e) {
      return Outcome.ERROR;
    }
  }

  @Override
  public void cancel(Req req, int leg) {
    // a dispatch that is called off here is done all the same
  }

  @Override
  public void deny(Req req, long wait) {
    Encoder.response(Wire.denied(wait, true));
  }

  @Override
  public void abort(Req req) {
    Encoder.response(Wire.plain(502, "given up", true));
  }

  @Override
  public void probe(int backend, Heard next) {
    // no backend is there
  }

  @Override
  public void hangUp(int backend) {
    // no connection is there
  }

  @Override
  public void later(long delay, Runnable next) {
    deadlines.add(now + delay, next);
  }

  @Override
  public void follow() {
    // the list stands
  }

  @Override
  public void fetch() {
    // the list stands
  }

  @Override
  public void log(String text) {
    // what is judged of canned answers is no news
  }
}
