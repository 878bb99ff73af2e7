package wheattrack.lab.model;

import java.util.ArrayList;
import java.util.List;
import wheattrack.core.TimerQueue;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/**
 * What a run needs of its clock and its links, whichever clock that is: servers, list, clients and
 * timeline are the same on both. Times are tenths of a millisecond from the start of the run. One
 * thread.
 */
public abstract class RunEnvironment {
  public final Scenario scenario;
  private final long seed;
  private final List<SimulatedBackend> machines = new ArrayList<>();
  protected final List<ProxyHandle> doors = new ArrayList<>();
  protected EndpointRegistry roster;
  private final ClientPopulation crowd;

  protected RunEnvironment(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.seed = seed;
    for (int i = 0; i < scenario.serverCount(); i++) {
      machines.add(new SimulatedBackend(this, i, scenario.kindOf(i)));
    }
    crowd = new ClientPopulation(this);
  }

  public abstract long now();

  public abstract TimerQueue.Timer after(long delay, Runnable then);

  public abstract void cancel(TimerQueue.Timer entry);

  /** Writes a line of the ledger. */
  public abstract void say(LedgerRecord e);

  /** A fault of the links to this server begins or ends. */
  public abstract void link(Fault fault, int server, boolean on);

  /** A client was to want something at that moment and does so now. */
  public void wanted(double at) {
    // on a virtual clock there is no lateness
  }

  public final RandomStream draws(String part) {
    return new RandomStream(seed, part);
  }

  public final SimulatedBackend machine(int place) {
    return machines.get(place);
  }

  public final List<SimulatedBackend> machines() {
    return machines;
  }

  public final ProxyHandle door(int place) {
    return doors.get(place);
  }

  public final List<ProxyHandle> doors() {
    return doors;
  }

  public final EndpointRegistry roster() {
    return roster;
  }

  public final ClientPopulation crowd() {
    return crowd;
  }

  /** When all that was taken must have ended. */
  protected final long end() {
    return scenario.length
        + scenario.sets.stream().mapToLong(s -> s.rules().clientTimeout()).max().orElse(0);
  }
}
