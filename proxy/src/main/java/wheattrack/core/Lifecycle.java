package wheattrack.core;

import java.util.function.Consumer;

/**
 * The current phase of the process, from start to exit. A phase can only be followed by a later
 * one; phases may be skipped. Not thread-safe.
 */
public final class Lifecycle {
  /** The phases of the process, in the order in which they are entered. */
  public enum Phase {
    /** The configuration is being read. */
    STARTING,

    /** The JIT compiler is being warmed up; no requests are accepted. */
    WARMING,

    /** Ready for requests. */
    SERVING,

    /** No longer ready, but requests that still arrive are accepted. */
    DRAINING,

    /** Accepted requests are being answered; no further requests are accepted. */
    CLOSING,

    /** Everything is closed. */
    ENDED
  }

  private final Consumer<Phase> listener;
  private Phase phase = Phase.STARTING;

  /**
   * Creates a lifecycle in {@link Phase#STARTING}.
   *
   * @param listener notified of each later phase when it is entered
   */
  public Lifecycle(Consumer<Phase> listener) {
    this.listener = listener;
  }

  /** The current phase. */
  public Phase phase() {
    return phase;
  }

  /** Whether the process should be sent requests. */
  public boolean isReady() {
    return phase == Phase.SERVING;
  }

  /** Whether shutdown has begun; from draining on, client connections are not kept alive. */
  public boolean isShuttingDown() {
    return phase.compareTo(Phase.DRAINING) >= 0;
  }

  /** Enters a later phase; returns false if that phase is already reached or past. */
  public boolean advanceTo(Phase next) {
    if (next.compareTo(phase) <= 0) {
      return false;
    }
    phase = next;
    listener.accept(next);
    return true;
  }
}
