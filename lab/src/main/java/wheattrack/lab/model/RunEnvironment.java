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
 * One run of a scenario: the backends, endpoint list, clients and proxies, and what they need of
 * the run's clock and links. Models of backends, clients and faults are the same on the virtual
 * clock and on sockets. Times are tenths of a millisecond from the start of the run. One thread.
 */
public abstract class RunEnvironment {
  private final Scenario scenario;
  private final long seed;
  private final Consumer<LedgerRecord> ledger;
  private final List<SimulatedBackend> backends = new ArrayList<>();
  private final List<ProxyHandle> proxies = new ArrayList<>();
  private final ClientPopulation clients;
  private EndpointRegistry registry;

  /** Creates the backends and clients; registry and proxies are the subclass's to add. */
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

  /** Adds the proxy of the next index, while the run is set up. */
  protected final void addProxy(ProxyHandle proxy) {
    proxies.add(proxy);
  }

  /** What is played. */
  public final Scenario scenario() {
    return scenario;
  }

  /** The time of the run. */
  public abstract long now();

  /** Runs an action once, after a delay; at once but not within this call where it is 0 or less. */
  public abstract TimerQueue.Timer schedule(long delay, Runnable action);

  /** Cancels an action; no effect on one that has run or was cancelled, or on null. */
  public abstract void cancel(TimerQueue.Timer timer);

  /** Writes a line of the ledger. */
  public final void record(LedgerRecord entry) {
    ledger.accept(entry);
  }

  /** A fault of the links to this backend begins (active) or ends. */
  public abstract void setLinkFault(Fault fault, int backend, boolean active);

  /** An operation starts that was planned for a moment; for runs that measure their lateness. */
  public void arrivalStarted(double plannedAt) {
    // on the virtual clock nothing is late
  }

  /** The random draws of one part of the run, from the run's seed. */
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

  /** The latest time at which a client of the scenario may still wait for an answer. */
  protected final long lastDeadline() {
    long longestTimeout =
        scenario.workloads().stream()
            .mapToLong(workload -> workload.requestClass().clientTimeout())
            .max()
            .orElse(0);
    return scenario.duration() + longestTimeout;
  }
}
