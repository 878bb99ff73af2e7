package wheattrack.lab.referee;

/**
 * Service in one second of the run. The value of an operation counts in the second in which it
 * started, an answer or attempt in the second in which it arrived.
 */
public final class ServiceSecond {
  private double valueOffered;
  private double valueEarned;
  private int done;
  private int rejected;
  private int failed;
  private int attempts;

  void addOffered(double value) {
    valueOffered += value;
  }

  void addEarned(double value) {
    valueEarned += value;
  }

  void countAnswer(LedgerRecord.Answer answer) {
    switch (answer) {
      case DONE -> done++;
      case REJECTED -> rejected++;
      default -> failed++;
    }
  }

  void countAttempt() {
    attempts++;
  }

  /** Value of the operations that started. */
  public double valueOffered() {
    return valueOffered;
  }

  /** Value earned by those operations: that of each one done, reduced if it was late. */
  public double valueEarned() {
    return valueEarned;
  }

  /** Whether value was offered, so that {@link #earnedShare} is defined. */
  public boolean hasShare() {
    return valueOffered > 0;
  }

  /** Value earned as a share of the value offered. */
  public double earnedShare() {
    return valueEarned / valueOffered;
  }

  /** Requests answered with success. */
  public int done() {
    return done;
  }

  /** Requests rejected. */
  public int rejected() {
    return rejected;
  }

  /** Requests that failed. */
  public int failed() {
    return failed;
  }

  /** Attempts that arrived at backends. */
  public int attempts() {
    return attempts;
  }
}
