package wheattrack.lab.virtual;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.Idempotency;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.ProbeCallback;
import wheattrack.api.RequestClass;
import wheattrack.api.RequestHandle;
import wheattrack.core.BackendIndex;
import wheattrack.core.TimerQueue;
import wheattrack.lab.model.BackendVisit;
import wheattrack.lab.model.ClientPopulation;
import wheattrack.lab.model.EndpointRegistry;
import wheattrack.lab.model.ProxyHandle;
import wheattrack.lab.model.SimulatedBackend;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.referee.LedgerRecord.State;

/** One proxy of the virtual world: the module's port over virtual links. It decides nothing. */
final class VirtualProxy extends ProxyHandle implements PolicyRuntime {
  private static final long WRITE_PART = 200, GUARD = 50, DIAL = 2_500;

  /** A req at this proxy. */
  static final class Guest {
    final ClientPopulation.Ask ask;
    final List<Leg> legs = new ArrayList<>(2);
    PendingRequest req;
    RequestHandle held;
    TimerQueue.Timer guard;
    boolean over;

    Guest(ClientPopulation.Ask ask) {
      this.ask = ask;
    }
  }

  private static final class Srv extends BackendIndex.Backend<Integer> {
    int out, idle, life;

    Srv(Integer id, int at) {
      super(id, at);
    }

    @Override
    protected boolean hasWorkInFlight() {
      return out > 0;
    }
  }

  /** One dispatch. */
  final class Leg implements BackendVisit {
    private final Guest guest;
    private final Srv srv;
    private final AttemptCallback next;
    private final long sent = world.now();
    private final int lifeOfNode = life;
    private TimerQueue.Timer timer;
    private boolean begun, over, holds;
    private int lifeOfServer;
    private Runnable at;

    Leg(Guest guest, Srv srv, AttemptCallback next) {
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
    public void heard(AttemptOutcome how) {
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

    private void giveUp(AttemptOutcome how) {
      end(begun ? how : AttemptOutcome.DISCARDED);
    }

    private void end(AttemptOutcome how) {
      if (over) {
        return;
      }
      over = true;
      srv.out--;
      world.cancel(timer);
      SimulatedBackend m = world.machine(srv.id);
      boolean kept =
          how == AttemptOutcome.DONE || how == AttemptOutcome.ERROR || how == AttemptOutcome.FULL;
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
      if (how == AttemptOutcome.DONE && !guest.over) {
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

  private final VirtualRun world;
  private final VirtualDiscovery list;
  private final Policy.Maker maker;
  private final long seed;
  private final Map<Long, Guest> guests = new LinkedHashMap<>();
  private BackendIndex<Integer, Srv> fleet = new BackendIndex<>(Srv::new);
  private List<EndpointRegistry.News> saved = List.of();
  private Policy mind;
  private boolean up;
  private int life;

  VirtualProxy(VirtualRun world, VirtualDiscovery list, int place, Policy.Maker maker, long seed) {
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
    fleet = new BackendIndex<>(Srv::new);
    world.say(LedgerRecord.proxyChanged(world.now(), place, true));
    mind = maker.make(this, seed + life, place);
    if (!saved.isEmpty()) {
      List<EndpointRegistry.News> old = saved;
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
    world.say(LedgerRecord.proxyChanged(world.now(), place, false));
    for (Guest g : guests.values()) {
      g.over = true;
      world.cancel(g.guard);
      for (Leg leg : g.legs) {
        leg.over = true;
        world.cancel(leg.timer);
        SimulatedBackend m = world.machine(leg.srv.id);
        if (leg.holds && leg.at != null && leg.lifeOfServer == m.epoch()) {
          world.after(world.way(zone, m), leg.at);
        }
      }
      answer(g, Answer.CONNECTION_LOST, 0);
    }
    guests.clear();
    for (SimulatedBackend m : world.machines()) {
      Srv srv = fleet.find(m.place);
      for (int i = 0; srv != null && i < srv.idle; i++) {
        m.hangsUp(srv.life);
      }
    }
  }

  // ---- the list

  private final Map<Integer, EndpointRegistry.News> last = new LinkedHashMap<>();

  void told(List<EndpointRegistry.News> news, boolean all) {
    if (up) {
      tell(news, all, false);
    }
  }

  private void tell(List<EndpointRegistry.News> news, boolean all, boolean old) {
    if (all) {
      Set<Integer> named = new HashSet<>();
      news.forEach(n -> named.add(n.server()));
      fleet.listedExcept(named).forEach(this::gone);
      last.clear();
    }
    for (EndpointRegistry.News n : news) {
      if (n.state() == State.GONE) {
        last.remove(n.server());
        gone(fleet.find(n.server()));
        continue;
      }
      last.put(n.server(), n);
      Srv srv = fleet.getOrAdd(n.server());
      boolean fresh = fleet.markListed(srv);
      if (!old) {
        world.say(
            LedgerRecord.endpointNotified(world.now(), place, n.server(), n.state(), n.start()));
      }
      SimulatedBackend m = world.machine(n.server());
      int kinds =
          world.scenario.servers.stream()
              .map(s -> s.kind())
              .distinct()
              .toList()
              .indexOf(m.kind.kind());
      mind.updateBackend(
          new EndpointUpdate(
              srv.index,
              m.id(),
              n.state() == State.READY,
              m.zone,
              m.place / 4,
              kinds,
              m.kind.cores() * m.kind.speed(),
              n.start() == EndpointRegistry.LONG_AGO
                  ? EndpointRegistry.LONG_AGO
                  : VirtualRun.EPOCH + n.start(),
              fresh));
    }
    mind.endpointListUpdated(old);
  }

  private void gone(Srv srv) {
    if (fleet.markUnlisted(srv)) {
      world.say(LedgerRecord.endpointNotified(world.now(), place, srv.id, State.GONE, 0));
      mind.removeBackend(srv.index);
    }
  }

  void endpointListFailed() {
    if (up) {
      mind.endpointListFailed();
    }
  }

  @Override
  public void watchEndpoints() {
    list.follows(this);
  }

  // ---- reqs

  @Override
  public void take(ClientPopulation.Ask ask) {
    long sent = world.now();
    world.after(
        world.vary(world.scenario.net.client()),
        () -> {
          if (!ask.isOpen()) {
            return; // the client hung up before it was here
          }
          if (up) {
            world.say(
                LedgerRecord.requestAccepted(
                    sent,
                    ask.req(),
                    ask.op().id(),
                    place,
                    ask.due(),
                    ask.want().set().rules().index()));
            admit(ask);
          } else {
            world.after(world.vary(world.scenario.net.client()), () -> world.crowd().refused(ask));
          }
        });
  }

  private void admit(ClientPopulation.Ask ask) {
    Guest g = new Guest(ask);
    guests.put(ask.req(), g);
    RequestClass set = ask.want().set().rules();
    long due = now() + set.clientTimeout() - Math.max(10, set.clientTimeout() / WRITE_PART);
    int cost = (int) Math.min(Integer.MAX_VALUE / 4, Math.ceil(ask.want().hint()));
    g.req = new PendingRequest(set, now(), due, cost, ask.again(), g);
    g.guard =
        world.after(
            due + GUARD - now(),
            () -> {
              if (!g.over && world.guarded) {
                fail(g.req);
              }
            });
    g.held = mind.accept(g.req);
  }

  @Override
  public void left(ClientPopulation.Ask ask) {
    Guest g = guests.get(ask.req());
    if (g != null) {
      close(g);
      g.held.clientDisconnected();
    }
  }

  private void close(Guest g) {
    g.over = true;
    guests.remove(g.ask.req());
    world.cancel(g.guard);
    List.copyOf(g.legs).stream()
        .filter(leg -> !leg.begun)
        .forEach(leg -> leg.end(AttemptOutcome.DISCARDED));
  }

  @Override
  public void sendAttempt(PendingRequest req, int backend, long tryFor, AttemptCallback next) {
    Guest g = (Guest) req.attachment();
    Srv srv = fleet.get(backend);
    Leg leg = new Leg(g, srv, next);
    g.legs.add(leg);
    srv.out++;
    long wait = tryFor == 0 ? req.deadline() - now() : tryFor;
    leg.timer = world.after(wait, () -> leg.giveUp(AttemptOutcome.TIMEOUT));
    SimulatedBackend m = world.machine(srv.id);
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

  private void dial(Leg leg, SimulatedBackend m, long way) {
    if (m.state() == SimulatedBackend.State.SILENT) {
      world.after(DIAL, () -> leg.end(AttemptOutcome.NO_CONNECT));
    } else if (m.state() == SimulatedBackend.State.DEAD || !m.connects()) {
      world.after(2 * way, () -> leg.end(AttemptOutcome.NO_CONNECT));
    } else {
      leg.srv.life = m.epoch();
      int lived = m.epoch();
      world.after(
          2 * way,
          () -> {
            if (lived != m.epoch()) {
              leg.end(AttemptOutcome.NO_CONNECT);
            } else if (leg.over || leg.lifeOfNode != life) {
              m.hangsUp(lived);
            } else {
              begin(leg, m, way, true);
            }
          });
    }
  }

  /** Its bytes leave, unless it is a uniqued one whose window ran out while it waited. */
  private void begin(Leg leg, SimulatedBackend m, long way, boolean anew) {
    leg.holds = true;
    leg.lifeOfServer = m.epoch();
    RequestClass set = leg.guest.req.requestClass();
    if (set.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
      long first =
          leg.guest.legs.stream()
              .filter(l -> l.begun)
              .mapToLong(l -> l.sent)
              .min()
              .orElse(Long.MAX_VALUE / 2);
      if (world.now() >= first + set.deduplicationWindow()) {
        leg.end(AttemptOutcome.DISCARDED);
        return;
      }
    }
    leg.begun = true;
    long sent = world.now();
    world.after(
        way,
        () -> {
          if (!leg.over || m.state() != SimulatedBackend.State.SILENT) {
            arrives(leg, m, sent, anew);
          }
        });
  }

  private void arrives(Leg leg, SimulatedBackend m, long sent, boolean anew) {
    if (leg.lifeOfServer != m.epoch()) {
      world.after(world.way(zone, m), () -> leg.end(AttemptOutcome.RESET));
    } else {
      m.arrive(leg, sent, anew);
    }
  }

  @Override
  public void cancelAttempt(PendingRequest req, int leg) {
    ((Guest) req.attachment()).legs.get(leg).giveUp(AttemptOutcome.CANCELLED);
  }

  @Override
  public void reject(PendingRequest req, long wait) {
    answer(req, Answer.REJECTED, wait);
  }

  @Override
  public void fail(PendingRequest req) {
    answer(req, Answer.FAILED, 0);
  }

  private void answer(PendingRequest req, Answer how, long wait) {
    close((Guest) req.attachment());
    answer((Guest) req.attachment(), how, wait);
  }

  private void answer(Guest g, Answer how, long wait) {
    world.after(
        world.vary(world.scenario.net.client()), () -> world.crowd().answers(g.ask, how, wait));
  }

  @Override
  public void probeLoad(int backend, ProbeCallback next) {
    world.after(DIAL, () -> next.ended(false, DIAL));
  }

  @Override
  public void closeIdleConnections(int backend) {
    // the lab's deployments set no price on connections
  }

  // ---- clock

  @Override
  public long now() {
    return VirtualRun.EPOCH + world.now();
  }

  @Override
  public void schedule(long delay, Runnable next) {
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
  public void report(PolicyEvent event) {
    // the world's own ledger says what happened
  }
}
