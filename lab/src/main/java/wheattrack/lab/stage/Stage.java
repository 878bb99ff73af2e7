package wheattrack.lab.stage;

import java.util.ArrayList;
import java.util.List;
import wheattrack.core.Deadlines;
import wheattrack.lab.load.Draws;
import wheattrack.lab.referee.Entry;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/**
 * What a run needs of its clock and its links, whichever clock that is: servers, list, clients and
 * timeline are the same on both. Times are tenths of a millisecond from the start of the run. One
 * thread.
 */
public abstract class Stage {
  public final Scenario scenario;
  private final long seed;
  private final List<Machine> machines = new ArrayList<>();
  protected final List<Door> doors = new ArrayList<>();
  protected Roster roster;
  private final Crowd crowd;

  protected Stage(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.seed = seed;
    for (int i = 0; i < scenario.serverCount(); i++) {
      machines.add(new Machine(this, i, scenario.kindOf(i)));
    }
    crowd = new Crowd(this);
  }

  public abstract long now();

  public abstract Deadlines.Entry after(long delay, Runnable then);

  public abstract void cancel(Deadlines.Entry entry);

  /** Writes a line of the ledger. */
  public abstract void say(Entry e);

  /** A fault of the links to this server begins or ends. */
  public abstract void link(Fault fault, int server, boolean on);

  /** A client was to want something at that moment and does so now. */
  public void wanted(double at) {
    // on a virtual clock there is no lateness
  }

  public final Draws draws(String part) {
    return new Draws(seed, part);
  }

  public final Machine machine(int place) {
    return machines.get(place);
  }

  public final List<Machine> machines() {
    return machines;
  }

  public final Door door(int place) {
    return doors.get(place);
  }

  public final List<Door> doors() {
    return doors;
  }

  public final Roster roster() {
    return roster;
  }

  public final Crowd crowd() {
    return crowd;
  }

  /** When all that was taken must have ended. */
  protected final long end() {
    return scenario.length
        + scenario.sets.stream().mapToLong(s -> s.rules().timeout()).max().orElse(0);
  }
}
