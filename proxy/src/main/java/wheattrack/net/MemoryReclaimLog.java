package wheattrack.net;

import java.util.Locale;
import java.util.function.LongSupplier;
import wheattrack.config.TimeConversion;
import wheattrack.core.MemoryBudget;
import wheattrack.core.MemoryUse;
import wheattrack.log.ThrottledEventLog;

/**
 * Logs which memory is given up because messages use too much of it, at most one line a second.
 * Runs on the event loop's thread only.
 */
final class MemoryReclaimLog implements MemoryBudget.ReclaimListener {
  private final ThrottledEventLog log;

  /**
   * Creates a log.
   *
   * @param clock the time, in tenths of a millisecond
   */
  MemoryReclaimLog(LongSupplier clock) {
    log = new ThrottledEventLog(clock);
  }

  @Override
  public void onReclaim(MemoryUse use, long bytes, long duration) {
    String name = use.name().toLowerCase(Locale.ROOT);
    long millis = duration / TimeConversion.TICKS_PER_MILLISECOND;
    log.log("memory reclaimed", name + ", " + bytes + " bytes held for " + millis + " ms");
  }
}
