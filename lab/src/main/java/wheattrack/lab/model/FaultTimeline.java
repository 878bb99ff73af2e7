package wheattrack.lab.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.load.RequestPlan.Source.Sense;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.State;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/** Plays a scenario's faults, on either clock. */
public final class FaultTimeline {
  private static final long GONE_AFTER = 2 * Scenario.SECOND, ANEW_AFTER = Scenario.SECOND;

  private final RunEnvironment stage;

  private FaultTimeline(RunEnvironment stage) {
    this.stage = stage;
  }

  /** Puts all faults of the scenario into the agenda. */
  public static void schedule(RunEnvironment stage) {
    RandomStream draws = stage.draws("faults");
    FaultTimeline t = new FaultTimeline(stage);
    for (int i = 0; i < stage.scenario.faults.size(); i++) {
      Fault f = stage.scenario.faults.get(i);
      int n = f.kind().hitsProxies() ? stage.doors().size() : stage.machines().size();
      boolean hits = f.kind().hitsProxies() || f.kind().hitsServers();
      List<Integer> hit = hits ? hit(f, n, stage.scenario.zones, draws) : List.of();
      int number = i;
      stage.after(
          f.at(),
          () -> {
            stage.say(LedgerRecord.faultChanged(stage.now(), number, true));
            t.begin(f, hit);
            if (f.lasts() > 0) {
              stage.after(
                  f.lasts(),
                  () -> {
                    stage.say(LedgerRecord.faultChanged(stage.now(), number, false));
                    t.end(f, hit);
                  });
            }
          });
    }
  }

  /** Which places a fault hits: the seed draws them without repeats. */
  static List<Integer> hit(Fault f, int n, int zones, RandomStream draws) {
    if (f.what().place() >= 0) {
      return List.of(f.what().place());
    }
    List<Integer> left = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      if (f.what().zone() < 0 || i % zones == f.what().zone()) {
        left.add(i);
      }
    }
    List<Integer> out = new ArrayList<>();
    for (int k = f.what().count(left.size()); k > 0; k--) {
      out.add(left.remove(draws.below(left.size())));
    }
    return out;
  }

  private void each(List<Integer> hit, IntConsumer what) {
    hit.forEach(what::accept);
  }

  private void begin(Fault f, List<Integer> hit) {
    switch (f.kind()) {
      case KILL_PROXY ->
          each(
              hit,
              p -> {
                ProxyHandle door = stage.door(p);
                if (door.isUp()) {
                  door.kill();
                  int life = door.life();
                  stage.after(
                      stage.scenario.frontNotice,
                      () -> {
                        if (door.life() == life) {
                          stage.crowd().sees(door, false);
                        }
                      });
                }
              });
      case STOP_PROXY -> each(hit, p -> stage.door(p).halt(true));
      case CLOCK_PROXY ->
          each(
              hit,
              p -> {
                stage.door(p).kill();
                stage.crowd().sees(stage.door(p), false);
                stage.door(p).skew(f.size());
                stage.door(p).start();
              });
      case CRASH, VANISH ->
          each(
              hit,
              s -> {
                SimulatedBackend m = stage.machine(s);
                stage.roster().noticesDeath(m);
                if (f.kind() == Fault.Kind.CRASH) {
                  m.crash();
                } else {
                  m.vanish();
                }
              });
      case HANG -> each(hit, s -> stage.machine(s).hang());
      case SLOW -> each(hit, s -> stage.machine(s).slow(f.size()));
      case FAIL -> each(hit, s -> stage.machine(s).fails(f.size()));
      case PAUSE -> each(hit, s -> pauses(stage.machine(s), f, stage.now() + f.lasts()));
      case DRAIN -> each(hit, this::drain);
      case SHRINK -> leaveInTurn(f, hit, s -> {});
      case REPLACE -> leaveInTurn(f, hit, s -> stage.after(ANEW_AFTER, () -> start(s, true)));
      case LIST_DOWN -> stage.roster().down(true);
      case LIST_STALE -> stage.roster().stale(true);
      case LIST_EMPTY -> stage.roster().empty(true);
      case LINK_DELAY, LINK_DROP, LINK_HOLD, LINK_CUT, LINK_RESET, LINK_CORRUPT ->
          each(hit, s -> stage.link(f, s, true));
      case BURST -> stage.crowd().arrivals().times(f.size());
      case HINT_SHARE -> stage.crowd().wants().share(f.what().place(), f.size());
      case HINT_SCALE -> stage.crowd().wants().scale(f.size());
      case HINT_NOISE -> stage.crowd().wants().noise(f.size());
      case HINT_CONSTANT -> stage.crowd().wants().sense(Sense.CONSTANT, f.size() * Scenario.MS);
      case HINT_RANDOM -> stage.crowd().wants().sense(Sense.RANDOM, 0);
      case HINT_INVERTED -> stage.crowd().wants().sense(Sense.INVERTED, 0);
      case HINT_MIXED -> stage.crowd().wants().mixed(f.size());
      case HINT_ABSURD -> stage.crowd().wants().once(f.size() * Scenario.MS);
      default -> throw new IllegalStateException("unknown fault " + f.kind());
    }
  }

  private void end(Fault f, List<Integer> hit) {
    switch (f.kind()) {
      case KILL_PROXY ->
          each(
              hit,
              p -> {
                if (!stage.door(p).isUp()) {
                  stage.door(p).start();
                }
              });
      case STOP_PROXY -> each(hit, p -> stage.door(p).halt(false));
      case CLOCK_PROXY -> each(hit, p -> stage.door(p).skew(0));
      case CRASH, VANISH -> each(hit, s -> start(s, false));
      case HANG -> each(hit, s -> stage.machine(s).unhang());
      case SLOW -> each(hit, s -> stage.machine(s).slow(1));
      case FAIL -> each(hit, s -> stage.machine(s).fails(0));
      case DRAIN -> each(hit, this::leave);
      case LIST_DOWN -> stage.roster().down(false);
      case LIST_STALE -> stage.roster().stale(false);
      case LIST_EMPTY -> stage.roster().empty(false);
      case LINK_DELAY, LINK_DROP, LINK_HOLD, LINK_CUT, LINK_RESET, LINK_CORRUPT ->
          each(hit, s -> stage.link(f, s, false));
      case BURST -> stage.crowd().arrivals().times(1);
      case HINT_SHARE -> stage.crowd().wants().share(-1, stage.scenario.hints.share());
      case HINT_SCALE -> stage.crowd().wants().scale(stage.scenario.hints.scale());
      case HINT_NOISE -> stage.crowd().wants().noise(stage.scenario.hints.noise());
      case HINT_MIXED -> stage.crowd().wants().mixed(0);
      case HINT_CONSTANT, HINT_RANDOM, HINT_INVERTED -> stage.crowd().wants().sense(Sense.ROUGH, 0);
      default -> {}
    }
  }

  private void pauses(SimulatedBackend m, Fault f, long until) {
    if (stage.now() < until) {
      m.stall(Math.round(f.size() * Scenario.MS));
      stage.after(f.every(), () -> pauses(m, f, until));
    }
  }

  private void drain(int s) {
    stage.machine(s).drain();
    stage.roster().changes(s, State.DRAINING, startOf(s));
  }

  private void leave(int s) {
    SimulatedBackend m = stage.machine(s);
    if (m.isDraining()) {
      m.crash();
      stage.roster().changes(s, State.GONE, 0);
    }
  }

  /** They drain one after the other, and each is gone a while later. */
  private void leaveInTurn(Fault f, List<Integer> hit, IntConsumer then) {
    for (int i = 0; i < hit.size(); i++) {
      int s = hit.get(i);
      stage.after(
          f.lasts() * i / hit.size(),
          () -> {
            drain(s);
            stage.after(
                GONE_AFTER,
                () -> {
                  leave(s);
                  then.accept(s);
                });
          });
    }
  }

  /**
   * Cold: under its old id with a later start, or as another server under an id that nobody has
   * seen.
   */
  private void start(int s, boolean asAnother) {
    SimulatedBackend m = stage.machine(s);
    if (m.state() != SimulatedBackend.State.UP && !m.isFallen()) {
      if (asAnother) {
        m.renew();
      }
      m.start(true);
      stage.roster().changes(s, State.READY, m.start());
    }
  }

  private long startOf(int s) {
    SimulatedBackend m = stage.machine(s);
    return m.isCold() ? m.start() : EndpointRegistry.LONG_AGO;
  }
}
