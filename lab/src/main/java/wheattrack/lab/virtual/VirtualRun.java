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
import wheattrack.lab.scenario.Scenario.Network;

/**
 * A complete deployment in one thread on a virtual clock: proxies with the real policy, and models
 * of backends, endpoint list, links, front load balancer and clients. Runs with equal scenarios,
 * seeds and policies have equal ledgers on any machine. Times are tenths of a millisecond from the
 * start of the run.
 */
public final class VirtualRun extends RunEnvironment {
  /** The time on a proxy's clock at the start of the run. */
  static final long CLOCK_START = 1_000_000;

  /** How long a run continues after the last deadline. */
  private static final long SETTLE_TIME = 4 * Scenario.SECOND;

  /** The additional delay of a packet that was lost and retransmitted. */
  private static final long RETRANSMIT_DELAY = 2_000;

  private final RandomStream linkRandom;
  private final boolean enforcesDeadlines;

  /** By backend: the delay that faults add on its links. */
  private final long[] addedDelays;

  /** By backend: the share of packets that its links lose to faults. */
  private final double[] lossShares;

  private final TimerQueue timers = new TimerQueue();
  private long now;
  private long steps;

  /** Sets up a run in which all proxies use a policy of the lab. */
  public VirtualRun(
      Scenario scenario, long seed, Policies.Kind policy, Consumer<LedgerRecord> ledger) {
    this(scenario, seed, Policies.factory(policy, scenario), true, ledger);
  }

  /**
   * Sets up a run with the policies of a factory.
   *
   * @param enforcesDeadlines whether proxies fail requests that are still open after their
   *     deadline, as proxies on sockets do
   */
  VirtualRun(
      Scenario scenario,
      long seed,
      PolicyFactory policyFactory,
      boolean enforcesDeadlines,
      Consumer<LedgerRecord> ledger) {
    super(scenario, seed, ledger);
    this.enforcesDeadlines = enforcesDeadlines;
    linkRandom = randomStream("links");
    addedDelays = new long[scenario.backendCount()];
    lossShares = new double[scenario.backendCount()];
    VirtualDiscovery discovery = new VirtualDiscovery(this);
    setRegistry(discovery);
    RandomStream proxySeeds = randomStream("proxies");
    for (int index = 0; index < scenario.proxyCount(); index++) {
      addProxy(new VirtualProxy(this, discovery, index, policyFactory, proxySeeds.nextSeed()));
    }
  }

  /** Runs the complete scenario. */
  public void run() {
    backends().forEach(backend -> backend.start(false));
    proxies().forEach(ProxyHandle::start);
    FaultTimeline.schedule(this);
    clients().scheduleNextArrival();
    long end = lastDeadline() + SETTLE_TIME;
    while (timers.nextDeadline() <= end) {
      now = Math.max(now, timers.nextDeadline());
      Runnable action = timers.pollDue(now);
      steps++;
      action.run();
    }
    now = end;
    record(LedgerRecord.end(now));
  }

  /** The number of actions run so far, for measurements. */
  public long steps() {
    return steps;
  }

  /** Whether proxies fail requests that are still open after their deadline. */
  boolean enforcesDeadlines() {
    return enforcesDeadlines;
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public TimerQueue.Timer schedule(long delay, Runnable action) {
    return timers.add(now + Math.max(0, delay), action);
  }

  @Override
  public void cancel(TimerQueue.Timer timer) {
    timers.cancel(timer);
  }

  @Override
  public void setLinkFault(Fault fault, int backend, boolean active) {
    if (fault.kind() == Fault.Kind.LINK_DELAY) {
      addedDelays[backend] = active ? Math.round(fault.magnitude() * Scenario.MILLISECOND) : 0;
    } else {
      lossShares[backend] = active ? fault.magnitude() : 0;
    }
  }

  /** Draws the delay of one packet between a proxy's zone and a backend, with present faults. */
  long oneWayDelay(int proxyZone, SimulatedBackend backend) {
    Network network = scenario().network();
    boolean isSameZone = proxyZone == backend.zone();
    long delay = withJitter(isSameZone ? network.sameZone() : network.crossZone());
    delay += addedDelays[backend.index()];
    if (linkRandom.nextBoolean(lossShares[backend.index()])) {
      delay += RETRANSMIT_DELAY;
    }
    return delay;
  }

  /** Draws the delay of one packet between a client and a proxy. */
  long clientDelay() {
    return withJitter(scenario().network().client());
  }

  private long withJitter(long mean) {
    return Math.round(mean * linkRandom.nextLogNormal(scenario().network().jitter()));
  }
}
