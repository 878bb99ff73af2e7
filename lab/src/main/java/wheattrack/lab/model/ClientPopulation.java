package wheattrack.lab.model;

import java.util.ArrayList;
import java.util.List;
import wheattrack.api.Idempotency;
import wheattrack.lab.load.ArrivalProcess;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.load.RequestPlan;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.scenario.Scenario.Clients;

/**
 * The clients, and the front that deals them out among the proxies of their zone, on either clock.
 */
public final class ClientPopulation {
  /** One try: a req on its way to a proxy. */
  public record Ask(long req, RequestPlan want, long due, boolean again, Op op, int proxy) {
    /** Whether its client still waits for it. */
    public boolean isOpen() {
      return op.open == this;
    }
  }

  /** What a client wants, over all its tries. */
  public static final class Op {
    final long id, at;
    final RequestPlan want;
    final int zone;
    int tries;
    boolean over, left;
    Ask open;

    Op(long id, long at, RequestPlan want, int zone) {
      this.id = id;
      this.at = at;
      this.want = want;
      this.zone = zone;
    }

    /** Its number in the ledger. */
    public long id() {
      return id;
    }
  }

  private final RunEnvironment stage;
  private final RandomStream draws;
  private final RequestPlan.Source wants;
  private final ArrivalProcess arrivals;
  private final Clients clients;
  private final List<List<ProxyHandle>> believed = new ArrayList<>();
  private long ops, reqs;

  ClientPopulation(RunEnvironment stage) {
    this.stage = stage;
    draws = stage.draws("clients");
    wants = new RequestPlan.Source(stage.scenario, stage.draws("wants"));
    arrivals = new ArrivalProcess(stage.scenario.load, stage.draws("arrivals"));
    clients = stage.scenario.clients;
    for (int z = 0; z < stage.scenario.zones; z++) {
      believed.add(new ArrayList<>());
    }
  }

  RequestPlan.Source wants() {
    return wants;
  }

  ArrivalProcess arrivals() {
    return arrivals;
  }

  /** The front takes a proxy in, or has noticed that it is dead. */
  public void sees(ProxyHandle door, boolean up) {
    List<ProxyHandle> zone = believed.get(door.zone);
    zone.remove(door);
    if (up) {
      zone.add(door);
    }
  }

  public void open() {
    double at = arrivals.next();
    if (at < stage.scenario.length) {
      stage.after(
          (long) at - stage.now(),
          () -> {
            stage.wanted(at);
            Op op = new Op(++ops, (long) at, wants.next(), draws.below(believed.size()));
            stage.say(
                LedgerRecord.operationStarted(
                    op.at, op.id, op.want.set().rules().index(), op.want.value()));
            tries(op);
            open();
          });
    }
  }

  private ProxyHandle pick(int zone) {
    for (int i = 0; i < believed.size(); i++) {
      List<ProxyHandle> there = believed.get((zone + i) % believed.size());
      if (!there.isEmpty()) {
        return there.get(draws.below(there.size()));
      }
    }
    return null;
  }

  private void tries(Op op) {
    op.tries++;
    ProxyHandle door = pick(op.zone);
    if (door == null) {
      again(op, 0);
      return;
    }
    long timeout = op.want.set().rules().clientTimeout();
    Ask ask = new Ask(++reqs, op.want, stage.now() + timeout, op.tries > 1, op, door.place);
    op.open = ask;
    door.take(ask);
    if (draws.happens(clients.impatient())) {
      stage.after((long) (draws.uniform() * timeout), () -> leaves(op, ask, door));
    }
  }

  private void leaves(Op op, Ask ask, ProxyHandle door) {
    if (op.open == ask) {
      op.over = true;
      op.left = true;
      op.open = null;
      stage.say(LedgerRecord.clientDisconnected(stage.now(), ask.req));
      door.left(ask);
    }
  }

  /** No proxy took it: nothing was there to connect to. */
  public void refused(Ask ask) {
    if (ask.op.open == ask) {
      ask.op.open = null;
      again(ask.op, 0);
    }
  }

  /** A client has a final answer, or its connection ended without one. */
  public void answers(Ask ask, Answer how, long wait) {
    if (ask.op.left) {
      return;
    }
    stage.say(LedgerRecord.answered(stage.now(), ask.req, how));
    Op op = ask.op;
    if (op.open != ask) {
      return; // a second answer; the referee has heard it
    }
    op.open = null;
    if (how == Answer.DONE) {
      op.over = true;
    } else if (how == Answer.REJECTED
        || op.want.set().rules().idempotency() == Idempotency.IDEMPOTENT) {
      again(op, wait);
    }
  }

  /**
   * Tries again after the advice, if it follows it, or a wait that doubles; not past its patience.
   */
  private void again(Op op, long advice) {
    if (op.tries > clients.retries() || op.over) {
      return;
    }
    long own = Math.round(clients.backoff() * Math.pow(2, op.tries - 1) * (0.5 + draws.uniform()));
    long wait = advice > 0 && draws.happens(clients.honour()) ? advice : own;
    if (stage.now() + wait < op.at + op.want.set().rules().clientTimeout()) {
      stage.after(wait, () -> tries(op));
    }
  }
}
