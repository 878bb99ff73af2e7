package wheattrack.lab.virtual;

import java.util.function.Consumer;
import wheattrack.core.TimerQueue;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.model.FaultTimeline;
import wheattrack.lab.model.ProxyHandle;
import wheattrack.lab.model.RunEnvironment;
import wheattrack.lab.model.SimulatedBackend;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/**
 * A whole deployment in one thread under a virtual clock: proxies that decide by the module itself,
 * servers, list, links, front and clients. The same scenario, seed and policy give the same entries
 * on any machine. Times are tenths of a millisecond from the start of the run.
 */
public final class VirtualRun extends RunEnvironment {
  /** What a proxy's clock shows at the start of the run. */
  static final long EPOCH = 1_000_000;

  private static final long AFTER = 4 * Scenario.SECOND, RETRANSMIT = 2_000;

  final RandomStream links;
  final boolean guarded;
  private final long[] linkDelay;
  private final double[] linkLoss;
  private final Consumer<LedgerRecord> ledger;
  private final TimerQueue agenda = new TimerQueue();
  private long now;
  private long steps;

  public VirtualRun(
      Scenario scenario, long seed, Policies.Kind policy, Consumer<LedgerRecord> ledger) {
    this(scenario, seed, Policies.of(policy, scenario), true, ledger);
  }

  /** guarded: proxies abort what stands open past its due, as those on sockets do. */
  VirtualRun(
      Scenario scenario,
      long seed,
      Policy.Maker maker,
      boolean guarded,
      Consumer<LedgerRecord> ledger) {
    super(scenario, seed);
    this.guarded = guarded;
    this.ledger = ledger;
    links = draws("links");
    linkDelay = new long[scenario.serverCount()];
    linkLoss = new double[scenario.serverCount()];
    VirtualDiscovery list = new VirtualDiscovery(this);
    roster = list;
    RandomStream seeds = draws("proxies");
    for (int i = 0; i < scenario.proxies; i++) {
      doors.add(new VirtualProxy(this, list, i, maker, seeds.seed()));
    }
  }

  /** Plays the whole run. */
  public void run() {
    machines().forEach(m -> m.start(false));
    doors().forEach(ProxyHandle::start);
    FaultTimeline.schedule(this);
    crowd().open();
    long end = end() + AFTER;
    for (Runnable next = null; agenda.nextDeadline() <= end; ) {
      now = Math.max(now, agenda.nextDeadline());
      next = agenda.pollDue(now);
      steps++;
      next.run();
    }
    now = end;
    say(LedgerRecord.end(now));
  }

  /** Steps of the world so far, for measurements. */
  public long steps() {
    return steps;
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public TimerQueue.Timer after(long delay, Runnable then) {
    return agenda.add(now + Math.max(0, delay), then);
  }

  @Override
  public void cancel(TimerQueue.Timer entry) {
    agenda.cancel(entry);
  }

  @Override
  public void say(LedgerRecord e) {
    ledger.accept(e);
  }

  @Override
  public void link(Fault fault, int server, boolean on) {
    if (fault.kind() == Fault.Kind.LINK_DELAY) {
      linkDelay[server] = on ? Math.round(fault.size() * Scenario.MS) : 0;
    } else {
      linkLoss[server] = on ? fault.size() : 0;
    }
  }

  /** One way between a proxy's zone and a server, as its link is now. */
  long way(int from, SimulatedBackend to) {
    long mean = from == to.zone ? scenario.net.same() : scenario.net.cross();
    return vary(mean) + linkDelay[to.place] + (links.happens(linkLoss[to.place]) ? RETRANSMIT : 0);
  }

  long vary(long mean) {
    return Math.round(mean * links.factor(scenario.net.jitter()));
  }
}
