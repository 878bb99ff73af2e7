package wheattrack.lab.scale;

import java.util.function.BooleanSupplier;

/** Waits for a condition by checking it periodically. */
final class Polling {
  private static final long INTERVAL_MILLIS = 20;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private Polling() {}

  /** Waits until the condition holds or the timeout has passed; returns whether it holds. */
  static boolean await(long timeoutMillis, BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        return false;
      }
      Thread.sleep(INTERVAL_MILLIS);
    }
    return true;
  }
}
