package wheattrack.lab.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import wheattrack.core.TimerQueue;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/**
 * One run of a scenario: its backends, endpoint list, clients and proxies, and the clock and links
 * that they use. The models of backends, clients and faults are the same on the virtual clock and
 * on sockets. Times are tenths of a millisecond from the start of the run. Runs in one thread.
 */
public abstract class RunEnvironment {
  private final Scenario scenario;
  private final long seed;
  private final Consumer<LedgerRecord> ledger;
  private final List<SimulatedBackend> backends = new ArrayList<>();
  private final List<ProxyHandle> proxies = new ArrayList<>();
  private final ClientPopulation clients;
  private EndpointRegistry registry;

  /** Creates the backends and clients; the subclass must add the endpoint list and the proxies. */
  protected RunEnvironment(Scenario scenario, long seed, Consumer<LedgerRecord> ledger) {
    this.scenario = scenario;
    this.seed = seed;
    this.ledger = ledger;
    for (int index = 0; index < scenario.backendCount(); index++) {
      backends.add(new SimulatedBackend(this, index, scenario.groupOf(index)));
    }
    clients = new ClientPopulation(this);
  }

  /** Sets the endpoint list, once, while the run is set up. */
  protected final void setRegistry(EndpointRegistry registry) {
    this.registry = registry;
  }

  /** Adds the proxy with the next index, while the run is set up. */
  protected final void addProxy(ProxyHandle proxy) {
    proxies.add(proxy);
  }

  /** The scenario of this run. */
  public final Scenario scenario() {
    return scenario;
  }

  /** The time of the run. */
  public abstract long now();

  /**
   * Runs an action once, after a delay. With a delay of 0 or less it runs without a wait, but not
   * within this call.
   */
  public abstract TimerQueue.Timer schedule(long delay, Runnable action);

  /** Cancels an action; no effect on one that has run or was cancelled, or on null. */
  public abstract void cancel(TimerQueue.Timer timer);

  /** Writes an entry of the ledger. */
  public final void record(LedgerRecord entry) {
    ledger.accept(entry);
  }

  /** Begins (active) or ends a fault of all links to a backend. */
  public abstract void setLinkFault(Fault fault, int backend, boolean active);

  /** Called when an operation starts, so that runs in real time can measure how late it is. */
  public void arrivalStarted(double plannedAt) {
    // on the virtual clock operations are never late
  }

  /** A new random stream for the part of the run with this name, from the run's seed. */
  public final RandomStream randomStream(String name) {
    return new RandomStream(seed, name);
  }

  /** The backend of this index. */
  public final SimulatedBackend backend(int index) {
    return backends.get(index);
  }

  /** All backends, by index. */
  public final List<SimulatedBackend> backends() {
    return Collections.unmodifiableList(backends);
  }

  /** The proxy of this index. */
  public final ProxyHandle proxy(int index) {
    return proxies.get(index);
  }

  /** All proxies, by index. */
  public final List<ProxyHandle> proxies() {
    return Collections.unmodifiableList(proxies);
  }

  /** The endpoint list. */
  public final EndpointRegistry registry() {
    return registry;
  }

  /** The clients. */
  public final ClientPopulation clients() {
    return clients;
  }

  /** The latest time at which a client may still wait for an answer. */
  protected final long lastDeadline() {
    long longestTimeout =
        scenario.workloads().stream()
            .mapToLong(workload -> workload.requestClass().clientTimeout())
            .max()
            .orElse(0);
    return scenario.duration() + longestTimeout;
  }
}
