package wheattrack.state;

/** The unit of all times in the policy: a tick is a tenth of a millisecond. */
public final class Ticks {
  /** Ticks in a second. */
  public static final long SECOND = 10_000;

  /** Ticks in a millisecond. */
  public static final long MILLISECOND = 10;

  private Ticks() {}
}
