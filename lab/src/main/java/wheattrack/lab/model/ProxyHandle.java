package wheattrack.lab.model;

import wheattrack.core.TimerQueue;
import wheattrack.lab.referee.LedgerRecord;

/**
 * A proxy as clients and the fault timeline use it: they send requests to it, and start, pause and
 * kill its process. Runs on the run's thread only.
 */
public abstract class ProxyHandle {
  private final RunEnvironment environment;
  private final int index;
  private final int zone;
  private boolean isUp;
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

  /** Whether its process accepts requests. */
  public final boolean isUp() {
    return isUp;
  }

  /** Changes with each start and kill. */
  public final int incarnation() {
    return incarnation;
  }

  /** Starts its process, and makes the clients' front load balancer use it once it is up. */
  public abstract void start();

  /** Kills its process. */
  public final void kill() {
    isUp = false;
    incarnation++;
    environment.record(LedgerRecord.proxyChanged(environment.now(), index, false));
    stopProcess();
  }

  /** Ends its process immediately; called when the proxy is marked down already. */
  protected abstract void stopProcess();

  /** Must be called when its process starts. */
  protected final void beginIncarnation() {
    incarnation++;
  }

  /** Must be called once its process accepts requests. */
  protected final void markUp() {
    isUp = true;
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

  /** Pauses its process, or resumes it. */
  public abstract void setPaused(boolean paused);

  /** Sets by how many milliseconds its clock is ahead, from its next start on. */
  public abstract void setClockSkew(double millis);

  /** Sends it a request; {@link ClientPopulation} receives the answer or a refused connection. */
  public abstract void submit(ClientRequest request);

  /** The client of a request disconnects. */
  public abstract void clientDisconnected(ClientRequest request);
}
