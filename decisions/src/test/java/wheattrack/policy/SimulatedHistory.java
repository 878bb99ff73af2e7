package wheattrack.policy;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
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

/**
 * A proxy's course through a history: servers that work in their own time, whatever hints say, and
 * clients that come at a rate. It holds what must never be: reqs denied for long while nothing is
 * out anywhere.
 */
final class SimulatedHistory implements PolicyRuntime {
  static final long SECOND = 10_000, TARGET = 3_000;

  /**
   * The invariant's bound: so long may all be denied while nothing is out and a warm server is
   * ready.
   */
  static final long STANDSTILL = 2 * TARGET;

  /** What can change; a is its measure, from 0 to 99. */
  enum What {
    HINTS,
    SPEED,
    OUTCOME,
    LOAD,
    DRAIN,
    RETURN,
    RESTART,
    QUIET
  }

  /** One change, and how long it lasts until the next, in tenths of a second. */
  record Step(What what, int a, int tenths) {
    @Override
    public String toString() {
      return what + "(" + a + ") for " + tenths / 10.0 + " s";
    }
  }

  private record Timer(long at, long turn, Runnable next) {}

  private static final int[] RATES = {5, 20, 60, 200};
  private static final AttemptOutcome[] ENDS = {
    AttemptOutcome.DONE,
    AttemptOutcome.DONE,
    AttemptOutcome.ERROR,
    AttemptOutcome.FULL,
    AttemptOutcome.RESET,
    AttemptOutcome.NO_CONNECT,
    AttemptOutcome.TIMEOUT
  };

  private final SplittableRandom random;
  private final RequestClass look =
      new RequestClass(
          0, TARGET, 15_000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 1, 0, false);
  private final RequestClass pay =
      new RequestClass(
          1, TARGET, 15_000, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 3, 0, false);
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.turn, b.turn));
  private final LoadBalancer rules;
  private final int n;
  private final boolean[] ready;
  private final long[] up, freeAt, lastSent;
  private final boolean async;
  private long now = 100 * SECOND, turns, deniedSince = -1;
  private int out, hints, rate = 20;
  private double slow = 1;
  private AttemptOutcome end = AttemptOutcome.DONE;
  String fault;
  int denied, sent;

  SimulatedHistory(long seed, int servers, int proxies, boolean async, boolean copies) {
    random = new SplittableRandom(seed);
    n = servers;
    this.async = async;
    ready = new boolean[n];
    up = new long[n];
    freeAt = new long[n];
    lastSent = new long[n];
    rules = new EquiloadBalancer(this, seed, 0, proxies, new RequestClass[] {look, pay});
    PolicySettings settings =
        PolicySettings.DEFAULTS
            .withAttempts(new PolicySettings.AttemptLimits(3, true, copies, 2 * SECOND))
            .withSlowStart(new PolicySettings.SlowStartLimits(0.25, 4 * SECOND, 3, SECOND));
    rules.configure(settings, new RequestClass[] {look, pay});
    rules.start(false, 10 * SECOND);
    for (int b = 0; b < n; b++) {
      up[b] = Long.MIN_VALUE / 2;
      list(b, true, true);
    }
    rules.endpointListUpdated(false);
    come();
  }

  private void list(int b, boolean isReady, boolean fresh) {
    ready[b] = isReady;
    rules.updateBackend(new EndpointUpdate(b, 10 + b, isReady, 0, 0, 0, 1, up[b], fresh));
  }

  void play(Step s) {
    switch (s.what) {
      case HINTS -> hints = s.a % 9;
      case SPEED -> slow = new double[] {1, 0.1, 10, 3}[s.a % 4];
      case OUTCOME -> end = ENDS[s.a % ENDS.length];
      case LOAD -> rate = RATES[s.a % RATES.length];
      case DRAIN -> list(s.a % n, false, false);
      case RETURN -> list(s.a % n, true, false);
      case RESTART -> {
        up[s.a % n] = now;
        list(s.a % n, true, false);
      }
      default -> {}
    }
    rules.endpointListUpdated(false);
    pass(s.tenths * SECOND / 10);
  }

  /** All is well from now on; hints stay as they are. */
  void calm() {
    slow = 1;
    end = AttemptOutcome.DONE;
    rate = 50;
    for (int b = 0; b < n; b++) {
      list(b, true, false);
    }
    rules.endpointListUpdated(false);
  }

  /** The first server that has got nothing for so long, or -1. */
  int starved(long time) {
    for (int b = 0; b < n; b++) {
      if (now - lastSent[b] > time) {
        return b;
      }
    }
    return -1;
  }

  void pass(long time) {
    long until = now + time;
    while (!timers.isEmpty() && timers.peek().at <= until && fault == null) {
      Timer t = timers.poll();
      now = t.at;
      t.next.run();
    }
    now = until;
  }

  private void come() {
    schedule((long) Math.max(1, -Math.log(1 - random.nextDouble()) * SECOND / rate), this::come);
    double work = 100 + random.nextDouble() * 200;
    RequestClass set = random.nextInt(4) == 0 ? pay : look;
    rules.accept(new PendingRequest(set, now, now + 15_000, hint(work), false, work));
  }

  private int hint(double work) {
    return switch (hints) {
      case 0 -> (int) work;
      case 1 -> 0;
      case 2 -> (int) (work * 1000);
      case 3 -> 1;
      case 4 -> random.nextInt(50) == 0 ? Integer.MAX_VALUE / 4 : (int) work;
      case 5 -> 1 + random.nextInt(1_000_000);
      case 6 -> (int) (40_000 / work);
      case 7 -> random.nextBoolean() ? (int) work : 0;
      default -> random.nextBoolean() ? (int) work : (int) (work * 1000);
    };
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void sendAttempt(PendingRequest req, int b, long tryFor, AttemptCallback next) {
    out++;
    sent++;
    lastSent[b] = now;
    deniedSince = -1;
    if (!ready[b]) {
      fault = "sent to a server that drains";
    }
    double work = (Double) req.attachment();
    long from = now, wait = tryFor == 0 ? req.deadline() - now : tryFor;
    long takes =
        end != AttemptOutcome.DONE
            ? end == AttemptOutcome.TIMEOUT ? wait : 10
            : async ? (long) (work * slow) : (long) (Math.max(0, freeAt[b] - now) + work * slow);
    if (end == AttemptOutcome.DONE) {
      freeAt[b] = now + takes;
    }
    boolean late = takes >= wait;
    AttemptOutcome how = late ? AttemptOutcome.TIMEOUT : end;
    schedule(
        Math.max(1, Math.min(wait, takes)),
        () -> {
          out--;
          next.ended(how, now - from, how == AttemptOutcome.DONE);
        });
  }

  @Override
  public void cancelAttempt(PendingRequest req, int leg) {
    // it ends as it would have ended
  }

  @Override
  public void reject(PendingRequest req, long wait) {
    denied++;
    boolean warm = false;
    for (int b = 0; b < n; b++) {
      warm |= ready[b] && now - up[b] >= 4 * SECOND;
    }
    if (out > 0 || !warm || now - req.arrivedAt() >= TARGET) {
      deniedSince = -1;
    } else if (deniedSince < 0) {
      deniedSince = now;
    } else if (now - deniedSince > STANDSTILL) {
      fault = "all denied for " + (now - deniedSince) / 10 + " ms while nothing was out";
    }
  }

  @Override
  public void fail(PendingRequest req) {
    // only what may have run is aborted; that is no standstill
  }

  @Override
  public void probeLoad(int backend, ProbeCallback next) {
    // never asked for
  }

  @Override
  public void closeIdleConnections(int backend) {
    // no price on connections is set here
  }

  @Override
  public void schedule(long delay, Runnable next) {
    timers.add(new Timer(now + Math.max(1, delay), turns++, next));
  }

  @Override
  public void watchEndpoints() {
    // the list stands
  }

  @Override
  public void report(PolicyEvent event) {
    // judged by what it does
  }
}
