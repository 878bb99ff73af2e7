package wheattrack.lab.referee;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.referee.LedgerRecord.State;
import wheattrack.lab.scenario.Scenario;

/**
 * Judges a run by its ledger alone: the four rules, and what service there was. Entries come in
 * order of time. It keeps something for each req and server of the run, and goes with it. One
 * thread.
 */
public final class Referee implements Consumer<LedgerRecord> {
  private static final long MOST_WORK = 1_000_000;
  private static final int MOST_TOLD = 20; // breaks spelt out; the rest is counted

  /** A rule broken, by whom and how. */
  public record Break(String rule, long at, String how) {}

  /**
   * Service by second of asking: value asked for, value done in time, reqs denied, and what they
   * cost.
   */
  public static final class Second {
    public double asked, earned;
    public int denied, aborted, done, dispatches;
  }

  /** What one proxy did: reqs taken, how they ended, and dispatches by the server's place. */
  public static final class ByProxy {
    public int taken, kills;
    public final int[] ended = new int[Answer.values().length];
    public final Map<Integer, Integer> sent = new TreeMap<>();
  }

  private ByProxy proxy(int place) {
    return byProxy.computeIfAbsent(place, p -> new ByProxy());
  }

  private static final class Op {
    long at;
    int set;
    double value;
    boolean done;
  }

  private static final class Try {
    long op, due, answeredAt = Long.MAX_VALUE;
    int proxy, answers, runs, ranAt = -1;
    long ranCame;
    boolean left, excused;
    Answer answer;
  }

  private static final class Srv {
    long start, readySince;
    double capacity;
    boolean cold, fallen;
    ColdBudget budget;
    final Map<Integer, State> state = new HashMap<>();
    final Map<Integer, Long> toldAt = new HashMap<>();
    final Map<Integer, Long> toldStart = new HashMap<>();
  }

  private final Scenario scenario;
  private final RequestClass[] sets;
  private final Map<Long, Op> ops = new HashMap<>();
  private final Map<Long, Try> tries = new HashMap<>();
  private final Map<Integer, Srv> servers = new HashMap<>();
  private final Map<Integer, Long> downAt = new HashMap<>();
  private final Map<String, Integer> broken = new LinkedHashMap<>();
  private final List<Break> breaks = new ArrayList<>();
  private final List<Second> seconds = new ArrayList<>();
  private final Map<Integer, long[]> byServer = new HashMap<>();
  private final Map<Integer, Histogram> work = new TreeMap<>();
  private final Map<Integer, ByProxy> byProxy = new TreeMap<>();
  private final Histogram latency = new Histogram(10 * 60_000L * 10, 3);
  private final List<LedgerRecord> faults = new ArrayList<>();
  private long dispatches, crossings, runs, done, denied, aborted, lost, lateDrain, lastAt;
  private double workRun, workTwice, coldLoad;
  private int fallen;

  public Referee(Scenario scenario) {
    this.scenario = scenario;
    sets =
        scenario.workloads().stream()
            .map(Scenario.Workload::requestClass)
            .toArray(RequestClass[]::new);
    for (String rule : List.of("answers", "effects", "drains", "cold")) {
      broken.put(rule, 0);
    }
  }

  private void broke(String rule, long at, String how) {
    if (broken.merge(rule, 1, Integer::sum) <= MOST_TOLD) {
      breaks.add(new Break(rule, at, how));
    }
  }

  @Override
  public void accept(LedgerRecord e) {
    lastAt = Math.max(lastAt, e.at());
    switch (e.kind()) {
      case ASKED -> asked(e);
      case TAKEN -> taken(e);
      case ANSWERED -> answered(e);
      case LEFT -> {
        Try t = tries.get(e.req());
        if (t != null) {
          t.left = true;
        }
      }
      case CAME -> came(e);
      case RAN -> ran(e);
      case TOLD -> told(e);
      case STARTED -> started(e);
      case PROXY -> proxy(e);
      case FAULT -> faults.add(e);
      default -> {}
    }
  }

  private Second second(long at) {
    int i = (int) Math.max(0, at / Scenario.SECOND);
    while (seconds.size() <= i) {
      seconds.add(new Second());
    }
    return seconds.get(i);
  }

  private void asked(LedgerRecord e) {
    Op op = new Op();
    op.at = e.at();
    op.set = e.code();
    op.value = e.figure();
    ops.put(e.req(), op);
    second(op.at).asked += op.value;
  }

  private void taken(LedgerRecord e) {
    Try t = new Try();
    t.op = (long) e.figure();
    t.due = e.time();
    t.proxy = e.proxy();
    proxy(t.proxy).taken++;
    if (tries.put(e.req(), t) != null) {
      broke("answers", e.at(), "req " + e.req() + " was taken twice under one id");
    }
  }

  private void answered(LedgerRecord e) {
    Try t = tries.get(e.req());
    if (t == null) {
      broke("answers", e.at(), "an answer to req " + e.req() + ", which was never taken");
      return;
    }
    Answer how = e.answer();
    proxy(t.proxy).ended[how.ordinal()]++;
    if (how == Answer.BROKEN) {
      t.excused |= wasDown(t.proxy, e.at());
      if (!t.excused && !t.left) {
        lost++;
        broke("answers", e.at(), "req " + e.req() + ": its connection ended without an answer");
      }
      t.excused = true;
      return;
    }
    if (++t.answers > 1) {
      broke("answers", e.at(), "req " + e.req() + " was answered " + t.answers + " times");
      return;
    }
    t.answer = how;
    t.answeredAt = e.at();
    if (e.at() > t.due + scenario.terms().clockSlack()) {
      broke(
          "answers",
          e.at(),
          "req " + e.req() + " was answered " + (e.at() - t.due) / 10 + " ms past its due");
    }
    Op op = ops.get(t.op);
    Second s = second(e.at());
    switch (how) {
      case DONE -> {
        done++;
        s.done++;
        if (op != null && !op.done) {
          op.done = true;
          latency.recordValue(Math.min(latency.getHighestTrackableValue(), e.at() - op.at));
          RequestClass set = sets[op.set];
          boolean inTime = e.at() - op.at <= set.latencyObjective();
          second(op.at).earned +=
              inTime
                  ? op.value
                  : set.priorityWeight() > 0
                      ? op.value * set.lateWeight() / set.priorityWeight()
                      : 0;
        }
      }
      case DENIED -> {
        denied++;
        s.denied++;
        deniedThough(t, e);
      }
      default -> {
        aborted++;
        s.aborted++;
      }
    }
  }

  /** A deny says that a new try does no harm: not so where it ran and must not run again. */
  private void deniedThough(Try t, LedgerRecord e) {
    RequestClass set = set(t);
    if (t.runs > 0
        && set != null
        && (set.idempotency() == Idempotency.NON_IDEMPOTENT
            || set.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && set.deduplicationScope() != DeduplicationScope.ALL)) {
      broke("effects", e.at(), "req " + e.req() + " was denied, though it has run");
    }
  }

  private RequestClass set(Try t) {
    Op op = ops.get(t.op);
    return op == null ? null : sets[op.set];
  }

  private boolean wasDown(int proxy, long at) {
    Long down = downAt.get(proxy);
    return down != null && at >= down;
  }

  private void came(LedgerRecord e) {
    Try t = tries.get(e.req());
    dispatches++;
    Histogram h = work.computeIfAbsent(e.server(), n -> new Histogram(MOST_WORK, 2));
    h.recordValue(Math.max(0, Math.min(MOST_WORK, Math.round(e.figure()))));
    proxy(e.proxy()).sent.merge(e.server(), 1, Integer::sum);
    second(e.at()).dispatches++;
    crossings += e.proxy() % scenario.zoneCount() != e.server() % scenario.zoneCount() ? 1 : 0;
    byServer.computeIfAbsent(
        e.server(), s -> new long[(int) (scenario.duration() / Scenario.SECOND) + 2]);
    long[] counts = byServer.get(e.server());
    counts[(int) Math.min(counts.length - 1, Math.max(0, e.at() / Scenario.SECOND))]++;
    if (t == null) {
      broke(
          "effects",
          e.at(),
          "server " + e.server() + " got req " + e.req() + ", which no client sent in this form");
    } else if (e.at() > Math.min(t.answeredAt, t.due) + scenario.terms().clockSlack()) {
      broke(
          "answers",
          e.at(),
          "req "
              + e.req()
              + " was sent on "
              + (e.at() - Math.min(t.answeredAt, t.due)) / 10
              + " ms after its answer or due");
    }
    Srv s = servers.computeIfAbsent(e.server(), n -> new Srv());
    State state = s.state.get(e.proxy());
    if (state != null && state != State.READY) {
      long late = e.at() - s.toldAt.get(e.proxy());
      lateDrain = Math.max(lateDrain, late);
      if (late
          > scenario.terms().drainGrace()
              + (scenario.isVirtual() ? 0 : scenario.terms().clockSlack())) {
        broke(
            "drains",
            e.at(),
            "proxy "
                + e.proxy()
                + " sent req "
                + e.req()
                + " to server "
                + e.server()
                + " "
                + late / 10
                + " ms after it was told that it is "
                + state);
      }
    }
    weigh(s, e);
  }

  /** Every dispatch that reaches a cold server weighs, refused ones too. */
  private void weigh(Srv s, LedgerRecord e) {
    if (!s.cold || s.budget == null) {
      return;
    }
    Scenario.BackendGroup kind = scenario.groupOf(e.server());
    double age = e.at() - s.start;
    if (age >= kind.coldDuration()) {
      return;
    }
    double warmth =
        kind.coldSpeed() + (1 - kind.coldSpeed()) * Math.max(0, age) / kind.coldDuration();
    boolean knows = s.toldStart.getOrDefault(e.proxy(), Long.MIN_VALUE) >= s.start;
    boolean falls = s.budget.add(e.at(), e.figure(), s.capacity * warmth, knows);
    coldLoad = Math.max(coldLoad, s.budget.most());
    if (falls && !s.fallen) {
      s.fallen = true;
      fallen++;
      if (s.budget.isBreak()) {
        broke(
            "cold",
            e.at(),
            "server " + e.server() + " was pushed over " + (long) age / 10 + " ms after its start");
      }
    }
  }

  private void ran(LedgerRecord e) {
    Try t = tries.get(e.req());
    runs++;
    workRun += e.figure();
    if (t == null) {
      return;
    }
    RequestClass set = set(t);
    if (++t.runs > 1) {
      workTwice += e.figure();
      if (set != null && set.idempotency() == Idempotency.NON_IDEMPOTENT) {
        broke("effects", e.at(), "req " + e.req() + " ran " + t.runs + " times and may only once");
      } else if (set != null
          && set.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
          && (e.time() >= t.ranCame + set.deduplicationWindow()
              || apart(set.deduplicationScope(), t.ranAt, e.server()))) {
        broke("effects", e.at(), "req " + e.req() + " ran again outside its group or window");
      }
    } else {
      t.ranAt = e.server();
      t.ranCame = e.time();
    }
    if (t.answer == Answer.DENIED) {
      deniedThough(t, e);
    }
  }

  private boolean apart(DeduplicationScope group, int one, int other) {
    return group == DeduplicationScope.ZONE
            && one % scenario.zoneCount() != other % scenario.zoneCount()
        || group == DeduplicationScope.CELL && one / CELL != other / CELL;
  }

  /** Servers of one cell in the lab's fleets. */
  public static final int CELL = 4;

  private void told(LedgerRecord e) {
    Srv s = servers.computeIfAbsent(e.server(), n -> new Srv());
    State was = s.state.put(e.proxy(), e.state());
    if (was != e.state()) {
      s.toldAt.put(e.proxy(), e.at());
    }
    if (e.state() == State.READY) {
      s.toldStart.put(e.proxy(), e.time());
    }
  }

  private void started(LedgerRecord e) {
    Srv s = servers.computeIfAbsent(e.server(), n -> new Srv());
    s.start = e.at();
    s.capacity = e.figure();
    s.cold = e.code() == 1;
    s.fallen = false;
    s.budget = scenario.coldBudget();
  }

  /**
   * What a killed proxy held is lost by the fault; what it is told after its return it hears anew.
   */
  private void proxy(LedgerRecord e) {
    if (e.code() == 0) {
      downAt.put(e.proxy(), e.at());
      proxy(e.proxy()).kills++;
      tries.values().forEach(t -> t.excused |= t.proxy == e.proxy() && t.answers == 0);
    } else {
      downAt.remove(e.proxy());
      servers
          .values()
          .forEach(
              s -> {
                s.state.remove(e.proxy());
                s.toldAt.remove(e.proxy());
                s.toldStart.remove(e.proxy());
              });
    }
  }

  /**
   * Ends the run: what has no answer by now and was due is lost. Figures by name, in a fixed order.
   */
  public Verdict verdict() {
    for (Map.Entry<Long, Try> one : tries.entrySet()) {
      Try t = one.getValue();
      if (t.answers == 0
          && !t.left
          && !t.excused
          && t.due + scenario.terms().clockSlack() < lastAt) {
        lost++;
        broke("answers", t.due, "req " + one.getKey() + " was never answered");
      }
    }
    Map<String, Double> f = new LinkedHashMap<>();
    f.put("broken", (double) broken.values().stream().mapToInt(n -> n).sum());
    broken.forEach((rule, n) -> f.put("broken." + rule, (double) n));
    f.put("service", service(0, Long.MAX_VALUE));
    scenario.windows().forEach(w -> f.put("service-" + w.name(), service(w.from(), w.until())));
    f.put("worst-second", worst());
    f.put("asked", (double) ops.size());
    f.put("done", (double) done);
    f.put("denied", (double) denied);
    f.put("aborted", (double) aborted);
    f.put("lost", (double) lost);
    f.put("dispatches", (double) dispatches);
    f.put("duplicate", workRun > 0 ? workTwice / workRun : 0);
    f.put("crossings", dispatches > 0 ? (double) crossings / dispatches : 0);
    f.put("p50", latency.getValueAtPercentile(50) / 10.0);
    f.put("p99", latency.getValueAtPercentile(99) / 10.0);
    f.put("p999", latency.getValueAtPercentile(99.9) / 10.0);
    f.put("late-drain", lateDrain / 10.0);
    f.put("cold-load", coldLoad);
    f.put("fallen", (double) fallen);
    Map<Integer, double[]> quantiles = new TreeMap<>();
    work.forEach(
        (server, h) ->
            quantiles.put(
                server,
                new double[] {
                  h.getValueAtPercentile(10) / 10.0,
                  h.getValueAtPercentile(50) / 10.0,
                  h.getValueAtPercentile(90) / 10.0
                }));
    return new Verdict(
        scenario,
        f,
        List.copyOf(breaks),
        List.copyOf(seconds),
        Map.copyOf(byServer),
        quantiles,
        byProxy,
        List.copyOf(faults),
        latency);
  }

  /**
   * Value done in time over value asked for, by the seconds of asking that begin in this stretch.
   */
  private double service(long from, long until) {
    double asked = 0, earned = 0;
    for (int i = 0; i < seconds.size(); i++) {
      if (i * Scenario.SECOND >= from && i * Scenario.SECOND < until) {
        asked += seconds.get(i).asked;
        earned += seconds.get(i).earned;
      }
    }
    return asked > 0 ? earned / asked : 1;
  }

  private double worst() {
    int whole = (int) (scenario.duration() / Scenario.SECOND);
    return seconds.stream()
        .limit(Math.max(1, whole))
        .filter(s -> s.asked > 0)
        .mapToDouble(s -> s.earned / s.asked)
        .min()
        .orElse(1);
  }
}
