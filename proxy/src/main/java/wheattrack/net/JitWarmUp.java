package wheattrack.net;

import java.nio.ByteBuffer;
import java.util.Map;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.ProbeCallback;
import wheattrack.api.RequestClass;
import wheattrack.config.LoadBalancerFactory;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.Settings;
import wheattrack.core.BackendIndex;
import wheattrack.core.TimerQueue;
import wheattrack.http.Encoder;
import wheattrack.http.Headers;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Request;
import wheattrack.http.RequestDecoder;
import wheattrack.http.Response;
import wheattrack.http.ResponseDecoder;
import wheattrack.policy.LoadBalancer;

/**
 * Runs the code in before the first req: canned messages go through parsers, a module of its own
 * and the encoder, with no socket and a clock of its own; each dispatch is done at the next tick.
 */
final class JitWarmUp implements PolicyRuntime {
  private static final int SRVS = 8;
  private static final long TICK = 20;

  private final Map<String, RequestClass> sets;
  private final TimerQueue deadlines = new TimerQueue();
  private final RequestDecoder in = new RequestDecoder();
  private final ResponseDecoder back = new ResponseDecoder();
  private final LoadBalancer rules;
  private long now = 1;

  JitWarmUp(Settings settings) {
    RequestClass[] all = PolicySettingsMapper.requestClasses(settings);
    sets = PolicySettingsMapper.classesByName(settings, all);
    rules = LoadBalancerFactory.create(settings, this, 1, all, false);
    for (int b = 0; b < SRVS; b++) {
      rules.updateBackend(new EndpointUpdate(b, b, true, 0, 0, 0, 1, BackendIndex.LONG_AGO, true));
    }
    rules.endpointListUpdated(false);
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
        for (Runnable due = deadlines.pollDue(now); due != null; due = deadlines.pollDue(now)) {
          due.run();
        }
      } while (n < most && System.nanoTime() < until);
    } catch (MalformedMessageException | ProtocolMapping.Unfit e) {
      throw new IllegalStateException("a canned message is not taken", e);
    }
    return n;
  }

  private void one(String name, int n) throws MalformedMessageException, ProtocolMapping.Unfit {
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
      ByteBuffer room = in.writableBuffer();
      while (bytes.hasRemaining() && room.hasRemaining()) {
        room.put(bytes.get());
      }
    }
    ProtocolMapping.Call call = ProtocolMapping.call(in.next(), sets);
    rules.accept(
        new PendingRequest(
            call.ruleSet(), now, now + call.timeout(), call.cost(), call.again(), call));
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void sendAttempt(PendingRequest req, int backend, long tryFor, AttemptCallback next) {
    ProtocolMapping.Call call = (ProtocolMapping.Call) req.attachment();
    Encoder.request(ProtocolMapping.onward(call.request(), tryFor));
    long sent = now;
    deadlines.add(now + 1, () -> next.ended(answer(call.request().body()), now - sent, true));
  }

  private AttemptOutcome answer(byte[] body) {
    Headers headers = new Headers().with("Content-Type", "application/json");
    back.writableBuffer()
        .put(Encoder.response(new Response(200, headers, true, new byte[body.length % 200])));
    try {
      Response answer = back.next();
      Encoder.response(ProtocolMapping.done(answer, true, true));
      return ProtocolMapping.outcome(answer);
    } catch (MalformedMessageException e) {
      return AttemptOutcome.ERROR;
    }
  }

  @Override
  public void cancelAttempt(PendingRequest req, int leg) {
    // a dispatch that is called off here is done all the same
  }

  @Override
  public void reject(PendingRequest req, long wait) {
    Encoder.response(ProtocolMapping.denied(wait, true));
  }

  @Override
  public void fail(PendingRequest req) {
    Encoder.response(ProtocolMapping.plain(502, "given up", true));
  }

  @Override
  public void probeLoad(int backend, ProbeCallback next) {
    // no backend is there
  }

  @Override
  public void closeIdleConnections(int backend) {
    // no connection is there
  }

  @Override
  public void schedule(long delay, Runnable next) {
    deadlines.add(now + delay, next);
  }

  @Override
  public void watchEndpoints() {
    // the list stands
  }

  @Override
  public void report(PolicyEvent event) {
    // what is judged of canned answers is no news
  }
}
