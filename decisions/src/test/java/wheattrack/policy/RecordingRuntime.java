package wheattrack.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.Idempotency;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.PolicySettings;
import wheattrack.api.ProbeCallback;
import wheattrack.api.RequestClass;
import wheattrack.api.RequestHandle;
import wheattrack.testing.TraceRecorder;

/**
 * A port played by the test: it prints what the module does, and the test says what comes of it.
 */
final class RecordingRuntime extends TraceRecorder implements PolicyRuntime {
  static final long SECOND = 10_000;

  private record Timer(long at, long turn, Runnable next) {}

  final List<AttemptCallback> sent = new ArrayList<>();
  final List<Integer> where = new ArrayList<>();
  int asked;
  private final List<Long> sentAt = new ArrayList<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.turn, b.turn));
  private long now = 100 * SECOND;
  private long turns;
  private final Set<Integer> known = new HashSet<>();
  private RequestClass set0;
  PolicySettings settings;
  LoadBalancer rules;

  static RequestClass set(Idempotency effect, DeduplicationScope group, double overdue) {
    return new RequestClass(
        0, SECOND / 2, 2 * SECOND, effect, group, SECOND / 10, 1, overdue, false);
  }

  /** One proxy of three with srvs 0..n-1, named 10, 20, ..., in zones b % 2 and packs b % 3. */
  static RecordingRuntime of(int srvs, int me, RequestClass set, boolean duplicates, boolean asks) {
    return of(srvs, me, 3, set, duplicates, asks);
  }

  static RecordingRuntime of(
      int srvs, int me, int proxies, RequestClass set, boolean duplicates, boolean asks) {
    RecordingRuntime w = new RecordingRuntime();
    w.set0 = set;
    w.rules = new EquiloadBalancer(w, 7 + me, me, proxies, new RequestClass[] {set});
    w.configure(
        PolicySettings.DEFAULTS
            .withAttempts(new PolicySettings.AttemptLimits(4, true, duplicates, SECOND))
            .withSlowStart(new PolicySettings.SlowStartLimits(0.25, 8 * SECOND, 3, 2 * SECOND)));
    w.rules.start(asks, 10 * SECOND);
    for (int b = 0; b < srvs; b++) {
      w.list(b, true, Long.MIN_VALUE / 2);
    }
    w.rules.endpointListUpdated(false);
    return w;
  }

  /** Puts these settings into use. */
  void configure(PolicySettings next) {
    settings = next;
    rules.configure(next, new RequestClass[] {set0});
  }

  void list(int b, boolean healthy, long up) {
    rules.updateBackend(
        new EndpointUpdate(b, 10 * b + 10, healthy, b % 2, b % 3, 0, 1, up, known.add(b)));
  }

  RequestHandle arrive(String name, int cost) {
    return rules.accept(new PendingRequest(set0, now, now + SECOND, cost, false, name));
  }

  /** A client's own retry, marked as one. */
  RequestHandle retry(String name, int cost) {
    return rules.accept(new PendingRequest(set0, now, now + SECOND, cost, true, name));
  }

  /** Ends the dispatch sent last, or the one of that number, as told. */
  void end(AttemptOutcome how) {
    end(sent.size() - 1, how);
  }

  void end(int number, AttemptOutcome how) {
    say("  " + number + " ends " + how);
    sent.get(number).ended(how, now - sentAt.get(number), how == AttemptOutcome.DONE);
  }

  /** Reqs one after the other, each done after as long as it costs, for so many seconds. */
  void busy(int seconds, int[] costs) {
    boolean before = quiet;
    quiet = true;
    for (long until = now + seconds * SECOND, i = 0; now < until; i++) {
      int first = sent.size();
      int cost = costs[(int) (i % costs.length)];
      arrive("busy", cost);
      pass(cost);
      for (int k = first; k < sent.size(); k++) {
        end(k, AttemptOutcome.DONE);
      }
    }
    quiet = before;
  }

  void pass(long time) {
    long until = now + time;
    while (!timers.isEmpty() && timers.peek().at <= until) {
      Timer t = timers.poll();
      now = t.at;
      t.next.run();
    }
    now = until;
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void sendAttempt(PendingRequest req, int backend, long tryFor, AttemptCallback next) {
    say(req.attachment() + " -> " + (10 * backend + 10) + " for " + tryFor / 10 + " ms");
    where.add(backend);
    sent.add(next);
    sentAt.add(now);
  }

  @Override
  public void cancelAttempt(PendingRequest req, int leg) {
    say(req.attachment() + " calls off " + leg);
  }

  @Override
  public void reject(PendingRequest req, long wait) {
    say(req.attachment() + " denied, wait " + wait / 10 + " ms");
  }

  @Override
  public void fail(PendingRequest req) {
    say(req.attachment() + " aborted");
  }

  @Override
  public void probeLoad(int backend, ProbeCallback next) {
    say("probe " + (10 * backend + 10));
  }

  @Override
  public void closeIdleConnections(int backend) {
    say("hang up " + (10 * backend + 10));
  }

  @Override
  public void schedule(long delay, Runnable next) {
    timers.add(new Timer(now + Math.max(1, delay), turns++, next));
  }

  @Override
  public void watchEndpoints() {
    asked++;
    say("follow at " + (now - 100 * SECOND) / 10 + " ms");
  }

  @Override
  public void report(PolicyEvent event) {
    say("log: " + event.text());
  }
}
