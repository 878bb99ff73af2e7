package wheattrack.lab.referee;

/** An operation of a client, which may take several requests. */
final class TrackedOperation {
  private final long startedAt;
  private final int requestClass;
  private final double value;
  private boolean isDone;

  TrackedOperation(long startedAt, int requestClass, double value) {
    this.startedAt = startedAt;
    this.requestClass = requestClass;
    this.value = value;
  }

  long startedAt() {
    return startedAt;
  }

  int requestClass() {
    return requestClass;
  }

  double value() {
    return value;
  }

  boolean isDone() {
    return isDone;
  }

  void markDone() {
    isDone = true;
  }
}
