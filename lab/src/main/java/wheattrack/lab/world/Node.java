package wheattrack.lab.world;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheattrack.core.Deadlines;
import wheattrack.core.Fleet;
import wheattrack.lab.referee.Entry;
import wheattrack.lab.referee.Entry.Answer;
import wheattrack.lab.referee.Entry.State;
import wheattrack.lab.stage.Crowd;
import wheattrack.lab.stage.Door;
import wheattrack.lab.stage.Machine;
import wheattrack.lab.stage.Roster;
import wheattrack.lab.stage.Visitor;
import wheattrack.port.Outcome;
import wheattrack.port.Port;
import wheattrack.port.Req;
import wheattrack.port.RuleSet;

/** One proxy of the virtual world: the module's port over virtual links. It decides nothing. */
final class Node extends Door implements Port {
  private static final long WRITE_PART = 200, GUARD = 50, DIAL = 2_500;

  /** A req at this proxy. */
  static final class Guest {
    final Crowd.Ask ask;
    final List<Leg> legs = new ArrayList<>(2);
    Req req;
    Held held;
    Deadlines.Entry guard;
    boolean over;

    Guest(Crowd.Ask ask) {
      this.ask = ask;
    }
  }

  private static final class Srv extends Fleet.Srv<Integer> {
    int out, idle, life;

    Srv(Integer id, int at) {
      super(id, at);
    }

    @Override
    protected boolean isBusy() {
      return out > 0;
    }
  }

  /** One dispatch. */
  final class Leg implements Visitor {
    private final Guest guest;
    private final Srv srv;
    private final Result next;
    private final long sent = world.now();
    private final int lifeOfNode = life;
    private Deadlines.Entry timer;
    private boolean begun, over, holds;
    private int lifeOfServer;
    private Runnable at;

    Leg(Guest guest, Srv srv, Result next) {
      this.guest = guest;
      this.srv = srv;
      this.next = next;
    }

    @Override
    public int proxy() {
      return place;
    }

    @Override
    public void stops(Runnable how) {
      at = how;
    }

    @Override
    public void heard(Outcome how) {
      world.after(
          world.way(zone, world.machine(srv.id)),
          () -> {
            if (lifeOfNode == life) {
              end(how);
            }
          });
    }

    @Override
    public long req() {
      return guest.ask.req();
    }

    @Override
    public double work() {
      return guest.ask.want().work();
    }

    @Override
    public long due() {
      return guest.ask.due();
    }

    private void giveUp(Outcome how) {
      end(begun ? how : Outcome.MOOT);
    }

    private void end(Outcome how) {
      if (over) {
        return;
      }
      over = true;
      srv.out--;
      world.cancel(timer);
      Machine m = world.machine(srv.id);
      boolean kept = how == Outcome.DONE || how == Outcome.ERROR || how == Outcome.FULL;
      if (holds && kept && srv.life == m.epoch()) {
        srv.idle++;
      } else if (holds) {
        int lived = lifeOfServer;
        Runnable stop = at;
        world.after(
            world.way(zone, m),
            () -> {
              m.hangsUp(lived);
              if (stop != null && lived == m.epoch()) {
                stop.run();
              }
            });
      }
      holds = false;
      if (how == Outcome.DONE && !guest.over) {
        close(guest);
        answer(guest, Answer.DONE, 0);
      }
      world.after(
          0,
          () -> {
            if (lifeOfNode == life) {
              next.ended(how, world.now() - sent, guest.over);
            }
          });
    }
  }

  private final World world;
  private final Listing list;
  private final Mind.Maker maker;
  private final long seed;
  private final Map<Long, Guest> guests = new LinkedHashMap<>();
  private Fleet<Integer, Srv> fleet = new Fleet<>(Srv::new);
  private List<Roster.News> saved = List.of();
  private Mind mind;
  private boolean up;
  private int life;

  Node(World world, Listing list, int place, Mind.Maker maker, long seed) {
    super(place, world.scenario.zones);
    this.world = world;
    this.list = list;
    this.maker = maker;
    this.seed = seed;
  }

  @Override
  public boolean isUp() {
    return up;
  }

  @Override
  public int life() {
    return life;
  }

  /** It starts from nothing but the list as it last had it. */
  @Override
  public void start() {
    up = true;
    life++;
    fleet = new Fleet<>(Srv::new);
    world.say(Entry.proxy(world.now(), place, true));
    mind = maker.make(this, seed + life, place);
    if (!saved.isEmpty()) {
      List<Roster.News> old = saved;
      tell(old, true, true);
    }
    world.crowd().sees(this, true);
  }

  @Override
  public void halt(boolean still) {
    throw new IllegalStateException("not on the virtual clock");
  }

  @Override
  public void skew(double millis) {
    throw new IllegalStateException("not on the virtual clock");
  }

  /** The process is killed: its connections break. */
  @Override
  public void kill() {
    up = false;
    life++;
    saved = new ArrayList<>(last.values());
    world.say(Entry.proxy(world.now(), place, false));
    for (Guest g : guests.values()) {
      g.over = true;
      world.cancel(g.guard);
      for (Leg leg : g.legs) {
        leg.over = true;
        world.cancel(leg.timer);
        Machine m = world.machine(leg.srv.id);
        if (leg.holds && leg.at != null && leg.lifeOfServer == m.epoch()) {
          world.after(world.way(zone, m), leg.at);
        }
      }
      answer(g, Answer.BROKEN, 0);
    }
    guests.clear();
    for (Machine m : world.machines()) {
      Srv srv = fleet.find(m.place);
      for (int i = 0; srv != null && i < srv.idle; i++) {
        m.hangsUp(srv.life);
      }
    }
  }

  // ---- the list

  private final Map<Integer, Roster.News> last = new LinkedHashMap<>();

  void told(List<Roster.News> news, boolean all) {
    if (up) {
      tell(news, all, false);
    }
  }

  private void tell(List<Roster.News> news, boolean all, boolean old) {
    if (all) {
      Set<Integer> named = new HashSet<>();
      news.forEach(n -> named.add(n.server()));
      fleet.missing(named).forEach(this::gone);
      last.clear();
    }
    for (Roster.News n : news) {
      if (n.state() == State.GONE) {
        last.remove(n.server());
        gone(fleet.find(n.server()));
        continue;
      }
      last.put(n.server(), n);
      Srv srv = fleet.admit(n.server());
      boolean fresh = fleet.met(srv);
      if (!old) {
        world.say(Entry.told(world.now(), place, n.server(), n.state(), n.start()));
      }
      Machine m = world.machine(n.server());
      int kinds =
          world.scenario.servers.stream()
              .map(s -> s.kind())
              .distinct()
              .toList()
              .indexOf(m.kind.kind());
      mind.entry(
          srv.at,
          m.id(),
          n.state() == State.READY,
          m.zone,
          m.place / 4,
          kinds,
          m.kind.cores() * m.kind.speed(),
          n.start() == Roster.LONG_AGO ? Roster.LONG_AGO : World.EPOCH + n.start(),
          fresh);
    }
    mind.listed(old);
  }

  private void gone(Srv srv) {
    if (fleet.left(srv)) {
      world.say(Entry.told(world.now(), place, srv.id, State.GONE, 0));
      mind.gone(srv.at);
    }
  }

  void listFailed() {
    if (up) {
      mind.listFailed();
    }
  }

  @Override
  public void follow() {
    list.follows(this);
  }

  @Override
  public void fetch() {
    list.follows(this);
  }

  // ---- reqs

  @Override
  public void take(Crowd.Ask ask) {
    long sent = world.now();
    world.after(
        world.vary(world.scenario.net.client()),
        () -> {
          if (!ask.isOpen()) {
            return; // the client hung up before it was here
          }
          if (up) {
            world.say(
                Entry.taken(
                    sent,
                    ask.req(),
                    ask.op().id(),
                    place,
                    ask.due(),
                    ask.want().set().rules().at()));
            admit(ask);
          } else {
            world.after(world.vary(world.scenario.net.client()), () -> world.crowd().refused(ask));
          }
        });
  }

  private void admit(Crowd.Ask ask) {
    Guest g = new Guest(ask);
    guests.put(ask.req(), g);
    RuleSet set = ask.want().set().rules();
    long due = now() + set.timeout() - Math.max(10, set.timeout() / WRITE_PART);
    int cost = (int) Math.min(Integer.MAX_VALUE / 4, Math.ceil(ask.want().hint()));
    g.req = new Req(set, 0, 0, now(), due, cost, ask.again(), g);
    g.guard =
        world.after(
            due + GUARD - now(),
            () -> {
              if (!g.over && world.guarded) {
                abort(g.req);
              }
            });
    g.held = mind.arrive(g.req);
  }

  @Override
  public void left(Crowd.Ask ask) {
    Guest g = guests.get(ask.req());
    if (g != null) {
      close(g);
      g.held.left();
    }
  }

  private void close(Guest g) {
    g.over = true;
    guests.remove(g.ask.req());
    world.cancel(g.guard);
    List.copyOf(g.legs).stream().filter(leg -> !leg.begun).forEach(leg -> leg.end(Outcome.MOOT));
  }

  @Override
  public void dispatch(Req req, int backend, long tryFor, Result next) {
    Guest g = (Guest) req.door;
    Srv srv = fleet.at(backend);
    Leg leg = new Leg(g, srv, next);
    g.legs.add(leg);
    srv.out++;
    long wait = tryFor == 0 ? req.due - now() : tryFor;
    leg.timer = world.after(wait, () -> leg.giveUp(Outcome.TIMEOUT));
    Machine m = world.machine(srv.id);
    if (srv.life != m.epoch()) {
      srv.life = m.epoch();
      srv.idle = 0;
    }
    long way = world.way(zone, m);
    if (srv.idle > 0) {
      srv.idle--;
      begin(leg, m, way, false);
    } else {
      dial(leg, m, way);
    }
  }

  private void dial(Leg leg, Machine m, long way) {
    if (m.state() == Machine.State.SILENT) {
      world.after(DIAL, () -> leg.end(Outcome.NO_CONNECT));
    } else if (m.state() == Machine.State.DEAD || !m.connects()) {
      world.after(2 * way, () -> leg.end(Outcome.NO_CONNECT));
    } else {
      leg.srv.life = m.epoch();
      int lived = m.epoch();
      world.after(
          2 * way,
          () -> {
            if (lived != m.epoch()) {
              leg.end(Outcome.NO_CONNECT);
            } else if (leg.over || leg.lifeOfNode != life) {
              m.hangsUp(lived);
            } else {
              begin(leg, m, way, true);
            }
          });
    }
  }

  /** Its bytes leave, unless it is a uniqued one whose window ran out while it waited. */
  private void begin(Leg leg, Machine m, long way, boolean anew) {
    leg.holds = true;
    leg.lifeOfServer = m.epoch();
    RuleSet set = leg.guest.req.ruleSet;
    if (set.effect() == RuleSet.Effect.UNIQUED) {
      long first =
          leg.guest.legs.stream()
              .filter(l -> l.begun)
              .mapToLong(l -> l.sent)
              .min()
              .orElse(Long.MAX_VALUE / 2);
      if (world.now() >= first + set.window()) {
        leg.end(Outcome.MOOT);
        return;
      }
    }
    leg.begun = true;
    long sent = world.now();
    world.after(
        way,
        () -> {
          if (!leg.over || m.state() != Machine.State.SILENT) {
            arrives(leg, m, sent, anew);
          }
        });
  }

  private void arrives(Leg leg, Machine m, long sent, boolean anew) {
    if (leg.lifeOfServer != m.epoch()) {
      world.after(world.way(zone, m), () -> leg.end(Outcome.RESET));
    } else {
      m.arrive(leg, sent, anew);
    }
  }

  @Override
  public void cancel(Req req, int leg) {
    ((Guest) req.door).legs.get(leg).giveUp(Outcome.CANCELLED);
  }

  @Override
  public void deny(Req req, long wait) {
    answer(req, Answer.DENIED, wait);
  }

  @Override
  public void abort(Req req) {
    answer(req, Answer.ABORTED, 0);
  }

  private void answer(Req req, Answer how, long wait) {
    close((Guest) req.door);
    answer((Guest) req.door, how, wait);
  }

  private void answer(Guest g, Answer how, long wait) {
    world.after(
        world.vary(world.scenario.net.client()), () -> world.crowd().answers(g.ask, how, wait));
  }

  @Override
  public void probe(int backend, Heard next) {
    world.after(DIAL, () -> next.ended(false, DIAL));
  }

  @Override
  public void hangUp(int backend) {
    // the lab's deployments set no price on connections
  }

  // ---- clock

  @Override
  public long now() {
    return World.EPOCH + world.now();
  }

  @Override
  public void later(long delay, Runnable next) {
    int lived = life;
    world.after(
        Math.max(1, delay),
        () -> {
          if (lived == life) {
            next.run();
          }
        });
  }

  @Override
  public void log(String text) {
    // the world's own ledger says what happened
  }
}
