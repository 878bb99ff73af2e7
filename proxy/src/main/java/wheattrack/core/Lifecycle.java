package wheattrack.core;

import java.util.function.Consumer;

/** The program's phases from start to exit; they only go forward. */
public final class Lifecycle {
  /**
   * STARTING: configuration is read. WARMING: the code is run in, nothing is taken. SERVING: ready
   * for reqs. DRAINING: not ready, yet still taking what comes. CLOSING: what was taken is
   * answered, nothing more is accepted. ENDED: all is closed.
   */
  public enum Phase {
    STARTING,
    WARMING,
    SERVING,
    DRAINING,
    CLOSING,
    ENDED
  }

  private final Consumer<Phase> listener;
  private Phase phase = Phase.STARTING;

  /** entered hears of each phase as it begins. */
  public Lifecycle(Consumer<Phase> entered) {
    this.listener = entered;
  }

  public Phase phase() {
    return phase;
  }

  public boolean isReady() {
    return phase == Phase.SERVING;
  }

  /** From draining on, connections are not kept. */
  public boolean isShuttingDown() {
    return phase.compareTo(Phase.DRAINING) >= 0;
  }

  /** Goes on to a later phase; says false where it is reached or past already. */
  public boolean advanceTo(Phase next) {
    if (next.compareTo(phase) <= 0) {
      return false;
    }
    phase = next;
    listener.accept(next);
    return true;
  }
}
