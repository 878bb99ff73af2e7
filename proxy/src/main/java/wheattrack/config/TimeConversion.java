package wheattrack.config;

/**
 * Conversions between microseconds, in which settings and wire formats hold times, and the ticks of
 * a tenth of a millisecond in which the program holds them.
 */
public final class TimeConversion {
  /** Microseconds in a tick. */
  public static final int MICROS_PER_TICK = 100;

  /** Ticks in a millisecond. */
  public static final int TICKS_PER_MILLISECOND = 10;

  /** The largest cost that a hint stands for, in ticks. */
  private static final int MAX_COST = Integer.MAX_VALUE / 4;

  private TimeConversion() {}

  /** The number of whole ticks in this many microseconds. */
  public static long ticksRoundedDown(long micros) {
    return Math.floorDiv(micros, (long) MICROS_PER_TICK);
  }

  /** The smallest number of ticks that takes at least this many microseconds. */
  public static long ticksRoundedUp(long micros) {
    return ticksRoundedDown(micros + MICROS_PER_TICK - 1);
  }

  /** The microseconds in this many ticks. */
  public static long toMicros(long ticks) {
    return ticks * MICROS_PER_TICK;
  }

  /**
   * The cost in ticks that a cost hint in microseconds stands for, rounded up and bounded; 0 for no
   * hint, which a hint of 0 or less is.
   */
  public static int costOfHint(long hintMicros) {
    long ticks = (Math.max(0, hintMicros) + MICROS_PER_TICK - 1) / MICROS_PER_TICK;
    return (int) Math.min(MAX_COST, ticks);
  }
}
