package wheattrack.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import wheattrack.api.AttemptOutcome;
import wheattrack.core.TimerQueue;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.referee.ColdBudget;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.scenario.Scenario.Servers;

/** One server, on either clock: cores, a waiting room, a cold start and all that can befall it. */
public final class SimulatedBackend {
  /** DEAD refuses connections, SILENT drops all that comes, HUNG takes reqs and answers none. */
  public enum State {
    UP,
    DEAD,
    SILENT,
    HUNG
  }

  private static final double NOISE = 0.2; // how much the same work varies from run to run
  private static final long FAST = 10; // an error's time

  /** A dispatch at this server. */
  private final class Visit {
    final BackendVisit who;
    final double work;
    final long came = stage.now();
    TimerQueue.Timer end;
    long endsAt;

    Visit(BackendVisit who, double work) {
      this.who = who;
      this.work = work;
    }
  }

  public final int place, zone;
  public final Servers kind;
  private final RunEnvironment stage;
  private final RandomStream draws;
  private final ArrayDeque<Visit> queue = new ArrayDeque<>();
  private final List<Visit> running = new ArrayList<>();
  private final ColdBudget budget;
  private State state = State.DEAD;
  private boolean draining, cold, fallen;
  private long start, stalledUntil;
  private double slow = 1, failing;
  private int epoch, connections, renewals;
  private Runnable changed = () -> {};

  SimulatedBackend(RunEnvironment stage, int place, Servers kind) {
    this.stage = stage;
    this.place = place;
    this.kind = kind;
    zone = place % stage.scenario.zones;
    draws = stage.draws("server" + place);
    budget = stage.scenario.coldBudget();
  }

  /** Runs whenever the state changes; one listener. */
  public void onChange(Runnable then) {
    changed = then;
  }

  private void turn(State next) {
    state = next;
    changed.run();
  }

  public State state() {
    return state;
  }

  public boolean isDraining() {
    return draining;
  }

  public boolean isFallen() {
    return fallen;
  }

  public long start() {
    return start;
  }

  public boolean isCold() {
    return cold;
  }

  /**
   * Its id, larger than 0: another one each time it was replaced, and elsewhere in the order of
   * ids.
   */
  public long id() {
    int n = stage.scenario.serverCount();
    long rank = renewals == 0 ? place : (place * 31L + renewals * 17L) % n;
    return (rank * n + renewals) * n + place + 1;
  }

  /** The next life is that of another server. */
  public void renew() {
    renewals++;
  }

  /** Changes with each life; connections of an earlier one are broken. */
  public int epoch() {
    return epoch;
  }

  public void start(boolean asCold) {
    if (fallen) {
      return;
    }
    draining = false;
    start = stage.now();
    cold = asCold;
    budget.clear();
    stage.say(LedgerRecord.backendStarted(stage.now(), place, kind.cores() * kind.speed(), asCold));
    turn(State.UP);
  }

  private double warmth() {
    double age = stage.now() - start;
    return !cold || age >= kind.coldFor()
        ? 1
        : kind.coldFrom() + (1 - kind.coldFrom()) * age / kind.coldFor();
  }

  public boolean connects() {
    if (connections >= kind.connections()) {
      return false;
    }
    connections++;
    return true;
  }

  public void hangsUp(int life) {
    connections -= life == epoch ? 1 : 0;
  }

  /** A dispatch's first byte left at that time and has come; anew: on a connection of its own. */
  public void arrive(BackendVisit who, long sent, boolean anew) {
    if (state == State.SILENT) {
      return;
    }
    if (state == State.DEAD) {
      who.heard(AttemptOutcome.RESET);
      return;
    }
    double work = who.work() * draws.factor(NOISE) + (anew ? kind.handshake() : 0);
    stage.say(LedgerRecord.attemptArrived(sent, who.req(), who.proxy(), place, work));
    if (cold
        && warmth() < 1
        && budget.add(sent, work, kind.cores() * kind.speed() * warmth(), true)) {
      fallen = true;
      stage.say(LedgerRecord.backendCollapsed(stage.now(), place));
      who.heard(AttemptOutcome.RESET);
      stage.roster().noticesDeath(this);
      crash();
      return;
    }
    Visit v = new Visit(who, work);
    who.stops(() -> callOff(v));
    if (state == State.HUNG) {
      queue.add(v);
    } else if (draining || queue.size() >= kind.room() && running.size() >= kind.cores()) {
      reply(who, AttemptOutcome.FULL);
    } else if (draws.happens(failing)) {
      stage.after(FAST, () -> reply(who, AttemptOutcome.ERROR));
    } else {
      queue.add(v);
      serve();
    }
  }

  private void serve() {
    while (state == State.UP
        && stage.now() >= stalledUntil
        && running.size() < kind.cores()
        && !queue.isEmpty()) {
      Visit v = queue.poll();
      if (stage.now() >= v.who.due()) {
        reply(v.who, AttemptOutcome.FULL); // over already; not begun
        continue;
      }
      running.add(v);
      stage.say(
          LedgerRecord.executionStarted(
              stage.now(), v.who.req(), v.who.proxy(), place, v.came, v.work));
      v.endsAt = stage.now() + Math.max(1, Math.round(v.work / (kind.speed() * warmth() / slow)));
      v.end = stage.after(v.endsAt - stage.now(), () -> finish(v));
    }
  }

  private void finish(Visit v) {
    running.remove(v);
    reply(v.who, AttemptOutcome.DONE);
    serve();
  }

  /** Its connection was closed: what waits or runs for it stops. */
  private void callOff(Visit v) {
    if (!queue.remove(v) && running.remove(v)) {
      stage.cancel(v.end);
      serve();
    }
  }

  private void reply(BackendVisit who, AttemptOutcome how) {
    who.stops(null);
    who.heard(how);
  }

  // ---- what befalls it

  /** The process dies: what it had breaks. */
  public void crash() {
    epoch++;
    connections = 0;
    drop(true);
    turn(State.DEAD);
  }

  /** The machine is cut off: nobody hears of it again. */
  public void vanish() {
    epoch++;
    connections = 0;
    drop(false);
    turn(State.SILENT);
  }

  private void drop(boolean heard) {
    List<Visit> all = new ArrayList<>(running);
    all.addAll(queue);
    running.clear();
    queue.clear();
    for (Visit v : all) {
      stage.cancel(v.end);
      if (heard) {
        reply(v.who, AttemptOutcome.RESET);
      } else {
        v.who.stops(null);
      }
    }
  }

  public void hang() {
    if (state == State.UP) {
      turn(State.HUNG);
      running.forEach(v -> stage.cancel(v.end));
    }
  }

  /** What was in work when it hung is lost; what waited goes on. */
  public void unhang() {
    if (state == State.HUNG) {
      turn(State.UP);
      List<Visit> lost = List.copyOf(running);
      running.clear();
      lost.forEach(v -> reply(v.who, AttemptOutcome.RESET));
      serve();
    }
  }

  public void stall(long time) {
    if (state != State.UP) {
      return;
    }
    stalledUntil = Math.max(stalledUntil, stage.now() + time);
    for (Visit v : running) {
      stage.cancel(v.end);
      v.endsAt += time;
      v.end = stage.after(v.endsAt - stage.now(), () -> finish(v));
    }
    stage.after(time, this::serve);
  }

  public void slow(double times) {
    slow = times;
  }

  public void fails(double share) {
    failing = share;
  }

  public void drain() {
    draining = true;
  }
}
