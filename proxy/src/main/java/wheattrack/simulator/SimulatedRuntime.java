package wheattrack.simulator;

import java.util.HashMap;
import java.util.Map;
import wheattrack.api.AttemptCallback;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.ProbeCallback;
import wheattrack.config.TimeConversion;
import wheattrack.core.BackendIndex;

/**
 * The policy's runtime in the simulator: writes each action of the policy as a message, and maps
 * the simulator's ids to requests, backends and timers. Not thread-safe.
 */
final class SimulatedRuntime implements PolicyRuntime {
  private final MessageWriter writer;
  private final Map<String, SimulatedRequest> requests = new HashMap<>();
  private final BackendIndex<Long, ListedBackend> backends = new BackendIndex<>(ListedBackend::new);
  private final Map<Long, Runnable> timers = new HashMap<>();
  private long lastTimerId;
  private long now;

  SimulatedRuntime(MessageWriter writer) {
    this.writer = writer;
  }

  /** Sets the clock, in tenths of a millisecond. */
  void setNow(long time) {
    now = time;
  }

  /** Removes all requests, backends and timers; timer ids are not reused. */
  void clear() {
    requests.clear();
    backends.clear();
    timers.clear();
  }

  /** The backends, which can be found by id and by index. */
  BackendIndex<Long, ListedBackend> backends() {
    return backends;
  }

  /** Adds a new request with this id. */
  SimulatedRequest addRequest(String id) {
    SimulatedRequest request = new SimulatedRequest(id);
    requests.put(id, request);
    return request;
  }

  /** The request with this id, or null if it is finished or unknown. */
  SimulatedRequest findRequest(String id) {
    return requests.get(id);
  }

  /** Marks a request as answered; it is kept while attempts are in flight. */
  void markAnswered(SimulatedRequest request) {
    request.markAnswered();
    removeIfFinished(request);
  }

  /** Removes a request if it has its final answer and no attempt in flight. */
  void removeIfFinished(SimulatedRequest request) {
    if (request.isFinished()) {
      requests.remove(request.id());
    }
  }

  /** Removes a timer and returns its task; null if there is no such timer. */
  Runnable removeTimer(long timerId) {
    return timers.remove(timerId);
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void sendAttempt(
      PendingRequest request, int backend, long timeout, AttemptCallback callback) {
    SimulatedRequest simulated = simulated(request);
    ListedBackend listed = backends.get(backend);
    simulated.addAttempt(listed, callback);
    writer.writeSendAttempt(simulated.id(), listed.id(), TimeConversion.toMicros(timeout));
  }

  @Override
  public void cancelAttempt(PendingRequest request, int attempt) {
    writer.writeCancelAttempt(simulated(request).id(), attempt);
  }

  @Override
  public void reject(PendingRequest request, long retryAfter) {
    SimulatedRequest simulated = simulated(request);
    markAnswered(simulated);
    writer.writeReject(simulated.id(), TimeConversion.toMicros(retryAfter));
  }

  @Override
  public void fail(PendingRequest request) {
    SimulatedRequest simulated = simulated(request);
    markAnswered(simulated);
    writer.writeFail(simulated.id());
  }

  @Override
  public void probeLoad(int backend, ProbeCallback callback) {
    ListedBackend listed = backends.get(backend);
    listed.addProbe(callback);
    writer.writeProbeLoad(listed.id());
  }

  @Override
  public void closeIdleConnections(int backend) {
    writer.writeCloseIdleConnections(backends.get(backend).id());
  }

  @Override
  public void schedule(long delay, Runnable task) {
    lastTimerId++;
    timers.put(lastTimerId, task);
    writer.writeSchedule(TimeConversion.toMicros(delay), lastTimerId);
  }

  @Override
  public void watchEndpoints() {
    writer.writeWatchEndpoints();
  }

  @Override
  public void report(PolicyEvent event) {
    writer.writeLog(event.text());
  }

  private static SimulatedRequest simulated(PendingRequest request) {
    return (SimulatedRequest) request.attachment();
  }
}
