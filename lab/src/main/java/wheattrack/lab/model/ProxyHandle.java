package wheattrack.lab.model;

import wheattrack.core.TimerQueue;
import wheattrack.lab.referee.LedgerRecord;

/**
 * A proxy as clients and the fault timeline see it: an address to send requests to, and a process
 * that can be killed. Runs on the run's thread only.
 */
public abstract class ProxyHandle {
  private final RunEnvironment environment;
  private final int index;
  private final int zone;
  private boolean up;
  private int incarnation;

  /** Creates a proxy that has not been started; the zone follows from the index. */
  protected ProxyHandle(RunEnvironment environment, int index) {
    this.environment = environment;
    this.index = index;
    zone = environment.scenario().zoneOf(index);
  }

  /** Its number among the proxies, from 0. */
  public final int index() {
    return index;
  }

  /** The number of its zone, from 0. */
  public final int zone() {
    return zone;
  }

  /** Whether its process can be sent to. */
  public final boolean isUp() {
    return up;
  }

  /** Changes with each start and kill. */
  public final int incarnation() {
    return incarnation;
  }

  /** Starts its process; the clients' front load balancer learns once it can be sent to. */
  public abstract void start();

  /** Kills its process. */
  public final void kill() {
    up = false;
    incarnation++;
    environment.record(LedgerRecord.proxyChanged(environment.now(), index, false));
    stopProcess();
  }

  /** Ends its process at once; it is down already, in an incarnation of its own. */
  protected abstract void stopProcess();

  /** To be called as its process starts. */
  protected final void beginIncarnation() {
    incarnation++;
  }

  /** To be called once it can be sent to. */
  protected final void becomeUp() {
    up = true;
    environment.record(LedgerRecord.proxyChanged(environment.now(), index, true));
  }

  /** Runs an action after a delay, unless the proxy was killed or started again by then. */
  public final TimerQueue.Timer scheduleInIncarnation(long delay, Runnable action) {
    int scheduledIn = incarnation;
    return environment.schedule(
        delay,
        () -> {
          if (scheduledIn == incarnation) {
            action.run();
          }
        });
  }

  /** Stops its process where it stands, or lets it go on. */
  public abstract void setPaused(boolean paused);

  /** Lets its clock be off by this from its next start on, in milliseconds. */
  public abstract void setClockSkew(double millis);

  /** Sends it a request; the clients receive the answer, or a refused connection. */
  public abstract void submit(ClientRequest request);

  /** The client of a request disconnects. */
  public abstract void clientDisconnected(ClientRequest request);
}
