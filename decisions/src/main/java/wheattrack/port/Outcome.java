package wheattrack.port;

/** How a dispatch ended, and whether that proves that it never ran. */
public enum Outcome {
  DONE(false),
  ERROR(false),
  FULL(true),
  TIMEOUT(false),
  NO_CONNECT(true),
  RESET(false),
  CANCELLED(false),
  MOOT(true);

  public final boolean neverRan;

  Outcome(boolean neverRan) {
    this.neverRan = neverRan;
  }
}
