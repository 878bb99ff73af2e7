package wheattrack;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import wheattrack.port.Outcome;
import wheattrack.port.Port;
import wheattrack.port.Req;
import wheattrack.port.RuleSet;
import wheattrack.port.RuleSet.Effect;
import wheattrack.port.RuleSet.Group;

/**
 * A port played by the test: it prints what the module does, and the test says what comes of it.
 */
final class World implements Port {
  static final long SECOND = 10_000;

  private record Timer(long at, long turn, Runnable next) {}

  final StringBuilder trace = new StringBuilder();
  final List<Result> sent = new ArrayList<>();
  final List<Integer> where = new ArrayList<>();
  int asked;
  private final List<Long> sentAt = new ArrayList<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.turn, b.turn));
  private long now = 100 * SECOND;
  private long turns;
  private final Set<Integer> known = new HashSet<>();
  private RuleSet set0;
  boolean quiet;
  Rules rules;

  static RuleSet set(Effect effect, Group group, double overdue) {
    return new RuleSet(0, SECOND / 2, 2 * SECOND, effect, group, SECOND / 10, 1, overdue, false);
  }

  /** One proxy of three with srvs 0..n-1, named 10, 20, ..., in zones b % 2 and packs b % 3. */
  static World of(int srvs, int me, RuleSet set, boolean duplicates, boolean asks) {
    return of(srvs, me, 3, set, duplicates, asks);
  }

  static World of(int srvs, int me, int proxies, RuleSet set, boolean duplicates, boolean asks) {
    World w = new World();
    w.set0 = set;
    w.rules = new Rules(w, 7 + me, me, proxies, new RuleSet[] {set});
    w.rules.limits(4, true, duplicates, SECOND);
    w.rules.zones(0, 0);
    w.rules.cold(0.25, 8 * SECOND, 3, 2 * SECOND);
    w.rules.start(asks, 10 * SECOND);
    for (int b = 0; b < srvs; b++) {
      w.list(b, true, Long.MIN_VALUE / 2);
    }
    w.rules.listed(false);
    return w;
  }

  void list(int b, boolean healthy, long up) {
    rules.entry(b, 10 * b + 10, healthy, b % 2, b % 3, 0, 1, up, known.add(b));
  }

  Held arrive(String name, int cost) {
    return rules.arrive(new Req(set0, 0, 0, now, now + SECOND, cost, false, name));
  }

  /** A client's own retry, marked as one. */
  Held retry(String name, int cost) {
    return rules.arrive(new Req(set0, 0, 0, now, now + SECOND, cost, true, name));
  }

  /** Ends the dispatch sent last, or the one of that number, as told. */
  void end(Outcome how) {
    end(sent.size() - 1, how);
  }

  void end(int number, Outcome how) {
    say("  " + number + " ends " + how);
    sent.get(number).ended(how, now - sentAt.get(number), how == Outcome.DONE);
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
        end(k, Outcome.DONE);
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

  void say(String line) {
    if (!quiet) {
      trace.append(line).append('\n');
    }
  }

  /**
   * Compares with the kept trace; what was printed lies in target/ for a reader to compare or keep.
   */
  void matches(String name) throws IOException {
    Path printed = Path.of("target", "traces", name + ".txt");
    Files.createDirectories(printed.getParent());
    Files.writeString(printed, trace);
    assertEquals(
        Files.readString(Path.of("src/test/resources/traces", name + ".txt")), trace.toString());
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void dispatch(Req req, int backend, long tryFor, Result next) {
    say(req.door + " -> " + (10 * backend + 10) + " for " + tryFor / 10 + " ms");
    where.add(backend);
    sent.add(next);
    sentAt.add(now);
  }

  @Override
  public void cancel(Req req, int leg) {
    say(req.door + " calls off " + leg);
  }

  @Override
  public void deny(Req req, long wait) {
    say(req.door + " denied, wait " + wait / 10 + " ms");
  }

  @Override
  public void abort(Req req) {
    say(req.door + " aborted");
  }

  @Override
  public void probe(int backend, Heard next) {
    say("probe " + (10 * backend + 10));
  }

  @Override
  public void hangUp(int backend) {
    say("hang up " + (10 * backend + 10));
  }

  @Override
  public void later(long delay, Runnable next) {
    timers.add(new Timer(now + Math.max(1, delay), turns++, next));
  }

  @Override
  public void follow() {
    asked++;
    say("follow at " + (now - 100 * SECOND) / 10 + " ms");
  }

  @Override
  public void fetch() {
    say("fetch");
  }

  @Override
  public void log(String text) {
    say("log: " + text);
  }
}
