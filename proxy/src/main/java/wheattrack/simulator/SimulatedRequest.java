package wheattrack.simulator;

import java.util.ArrayList;
import java.util.List;
import wheattrack.api.AttemptCallback;
import wheattrack.api.RequestHandle;

/** One request of the simulator: its id, its attempts and the policy's handle to it. */
final class SimulatedRequest {
  /** Initial capacity of the list of attempts. */
  private static final int EXPECTED_ATTEMPTS = 2;

  private record Attempt(ListedBackend backend, AttemptCallback callback) {}

  private final String id;

  /** All attempts by their number; null once an attempt has ended. */
  private final List<Attempt> attempts = new ArrayList<>(EXPECTED_ATTEMPTS);

  private int attemptsInFlight;
  private boolean isAnswered;
  private RequestHandle handle;

  SimulatedRequest(String id) {
    this.id = id;
  }

  String id() {
    return id;
  }

  RequestHandle handle() {
    return handle;
  }

  void setHandle(RequestHandle handle) {
    this.handle = handle;
  }

  /** Whether it has its final answer, or its client has disconnected. */
  boolean isAnswered() {
    return isAnswered;
  }

  void markAnswered() {
    isAnswered = true;
  }

  /** Whether it is answered and has no attempt in flight, so that no event can concern it. */
  boolean isFinished() {
    return isAnswered && attemptsInFlight == 0;
  }

  /** Adds an attempt that is sent to this backend; attempts are numbered from 0. */
  void addAttempt(ListedBackend backend, AttemptCallback callback) {
    attempts.add(new Attempt(backend, callback));
    attemptsInFlight++;
    backend.attemptStarted();
  }

  /** Whether the attempt with this number is in flight. */
  boolean isInFlight(int attemptNumber) {
    return attemptNumber >= 0
        && attemptNumber < attempts.size()
        && attempts.get(attemptNumber) != null;
  }

  /** Removes an attempt in flight, which has ended, and returns its callback. */
  AttemptCallback removeAttempt(int attemptNumber) {
    Attempt ended = attempts.set(attemptNumber, null);
    ended.backend().attemptEnded();
    attemptsInFlight--;
    return ended.callback();
  }
}
