package wheattrack;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import wheattrack.port.Outcome;
import wheattrack.port.Port;
import wheattrack.port.Req;
import wheattrack.port.RuleSet;
import wheattrack.port.RuleSet.Effect;
import wheattrack.port.RuleSet.Group;

/**
 * A proxy's course through a history: servers that work in their own time, whatever hints say, and
 * clients that come at a rate. It holds what must never be: reqs denied for long while nothing is
 * out anywhere.
 */
final class Course implements Port {
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
  private static final Outcome[] ENDS = {
    Outcome.DONE,
    Outcome.DONE,
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.RESET,
    Outcome.NO_CONNECT,
    Outcome.TIMEOUT
  };

  private final SplittableRandom random;
  private final RuleSet look =
      new RuleSet(0, TARGET, 15_000, Effect.REPLAYABLE, Group.ALL, 0, 1, 0, false);
  private final RuleSet pay =
      new RuleSet(1, TARGET, 15_000, Effect.NON_REPLAYABLE, Group.ALL, 0, 3, 0, false);
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.turn, b.turn));
  private final Rules rules;
  private final int n;
  private final boolean[] ready;
  private final long[] up, freeAt, lastSent;
  private final boolean async;
  private long now = 100 * SECOND, turns, deniedSince = -1, reqs;
  private int out, hints, rate = 20;
  private double slow = 1;
  private Outcome end = Outcome.DONE;
  String fault;
  int denied, sent;

  Course(long seed, int servers, int proxies, boolean async, boolean copies) {
    random = new SplittableRandom(seed);
    n = servers;
    this.async = async;
    ready = new boolean[n];
    up = new long[n];
    freeAt = new long[n];
    lastSent = new long[n];
    rules = new Rules(this, seed, 0, proxies, new RuleSet[] {look, pay});
    rules.limits(3, true, copies, 2 * SECOND);
    rules.zones(0, 0);
    rules.cold(0.25, 4 * SECOND, 3, SECOND);
    rules.start(false, 10 * SECOND);
    for (int b = 0; b < n; b++) {
      up[b] = Long.MIN_VALUE / 2;
      list(b, true, true);
    }
    rules.listed(false);
    come();
  }

  private void list(int b, boolean isReady, boolean fresh) {
    ready[b] = isReady;
    rules.entry(b, 10 + b, isReady, 0, 0, 0, 1, up[b], fresh);
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
    rules.listed(false);
    pass(s.tenths * SECOND / 10);
  }

  /** All is well from now on; hints stay as they are. */
  void calm() {
    slow = 1;
    end = Outcome.DONE;
    rate = 50;
    for (int b = 0; b < n; b++) {
      list(b, true, false);
    }
    rules.listed(false);
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
    later((long) Math.max(1, -Math.log(1 - random.nextDouble()) * SECOND / rate), this::come);
    double work = 100 + random.nextDouble() * 200;
    RuleSet set = random.nextInt(4) == 0 ? pay : look;
    reqs++;
    rules.arrive(new Req(set, 0, 0, now, now + 15_000, hint(work), false, work));
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
  public void dispatch(Req req, int b, long tryFor, Result next) {
    out++;
    sent++;
    lastSent[b] = now;
    deniedSince = -1;
    if (!ready[b]) {
      fault = "sent to a server that drains";
    }
    double work = (Double) req.door;
    long from = now, wait = tryFor == 0 ? req.due - now : tryFor;
    long takes =
        end != Outcome.DONE
            ? end == Outcome.TIMEOUT ? wait : 10
            : async ? (long) (work * slow) : (long) (Math.max(0, freeAt[b] - now) + work * slow);
    if (end == Outcome.DONE) {
      freeAt[b] = now + takes;
    }
    boolean late = takes >= wait;
    Outcome how = late ? Outcome.TIMEOUT : end;
    later(
        Math.max(1, Math.min(wait, takes)),
        () -> {
          out--;
          next.ended(how, now - from, how == Outcome.DONE);
        });
  }

  @Override
  public void cancel(Req req, int leg) {
    // it ends as it would have ended
  }

  @Override
  public void deny(Req req, long wait) {
    denied++;
    boolean warm = false;
    for (int b = 0; b < n; b++) {
      warm |= ready[b] && now - up[b] >= 4 * SECOND;
    }
    if (out > 0 || !warm || now - req.arrived >= TARGET) {
      deniedSince = -1;
    } else if (deniedSince < 0) {
      deniedSince = now;
    } else if (now - deniedSince > STANDSTILL) {
      fault = "all denied for " + (now - deniedSince) / 10 + " ms while nothing was out";
    }
  }

  @Override
  public void abort(Req req) {
    // only what may have run is aborted; that is no standstill
  }

  @Override
  public void probe(int backend, Heard next) {
    // never asked for
  }

  @Override
  public void hangUp(int backend) {
    // no price on connections is set here
  }

  @Override
  public void later(long delay, Runnable next) {
    timers.add(new Timer(now + Math.max(1, delay), turns++, next));
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
    // judged by what it does
  }
}
