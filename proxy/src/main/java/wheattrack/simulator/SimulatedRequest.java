package wheattrack.simulator;

import java.util.ArrayList;
import java.util.List;
import wheattrack.api.AttemptCallback;
import wheattrack.api.RequestHandle;

/** One request of the simulator: its id, its attempts and the policy's handle to it. */
final class SimulatedRequest {
  private final String id;
  private final List<AttemptCallback> callbacks = new ArrayList<>(2);
  private final List<ListedBackend> backends = new ArrayList<>(2);
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

  /** Whether nothing more can happen to it. */
  boolean isFinished() {
    return isAnswered && attemptsInFlight == 0;
  }

  /** Adds an attempt that is sent to this backend; attempts are numbered from 0. */
  void addAttempt(ListedBackend backend, AttemptCallback callback) {
    callbacks.add(callback);
    backends.add(backend);
    attemptsInFlight++;
    backend.attemptStarted();
  }

  /** Whether the attempt with this number is in flight. */
  boolean isInFlight(int attempt) {
    return attempt >= 0 && attempt < callbacks.size() && callbacks.get(attempt) != null;
  }

  /** Removes an attempt in flight, as it has ended, and returns its callback. */
  AttemptCallback removeAttempt(int attempt) {
    backends.get(attempt).attemptEnded();
    attemptsInFlight--;
    return callbacks.set(attempt, null);
  }
}
