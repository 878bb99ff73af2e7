package wheattrack.lab.model;

/**
 * A proxy as clients and the timeline see it: a place to send reqs to, and a process that can be
 * killed.
 */
public abstract class ProxyHandle {
  public final int place, zone;

  protected ProxyHandle(int place, int zones) {
    this.place = place;
    zone = place % zones;
  }

  /** Starts it; it tells the crowd once it can be sent to. */
  public abstract void start();

  public abstract void kill();

  public abstract boolean isUp();

  /** Changes with each start and kill. */
  public abstract int life();

  /** Stops the process where it stands, or lets it go on. */
  public abstract void halt(boolean still);

  /** From its next start on its clock is off by this, in milliseconds. */
  public abstract void skew(double millis);

  /** Sends a req; the crowd is told what comes of it. */
  public abstract void take(ClientPopulation.Ask ask);

  /** The client hangs up. */
  public abstract void left(ClientPopulation.Ask ask);
}
