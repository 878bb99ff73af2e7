package wheattrack.net.request;

import wheattrack.aio.EventLoop;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.ProbeCallback;
import wheattrack.log.EventLog;
import wheattrack.net.backend.BackendConnection;
import wheattrack.net.discovery.EndpointDiscovery;
import wheattrack.net.settings.SettingsApplier;

/**
 * The policy's runtime on sockets: the event loop's clock and timers, attempts and probes on
 * connections to backends, reports in the log. It decides nothing. Each outcome reaches the policy
 * in a step of its own, never within the call that caused it. Runs on the event loop's thread only,
 * but for the start of the policy before the loop runs.
 */
final class SocketPolicyRuntime implements PolicyRuntime {
  private final EventLoop loop;
  private final EndpointDiscovery endpoints;
  private final RequestHandler requestHandler;
  private final SettingsApplier settings;
  private LoadReports loadReports;

  /**
   * Creates a runtime; {@link #setLoadReports} must follow before the loop runs.
   *
   * @param requestHandler performs the final answers that the policy decides on
   */
  SocketPolicyRuntime(
      EventLoop loop,
      EndpointDiscovery endpoints,
      RequestHandler requestHandler,
      SettingsApplier settings) {
    this.loop = loop;
    this.endpoints = endpoints;
    this.requestHandler = requestHandler;
    this.settings = settings;
  }

  /** Sets what passes load reports to the policy, which is created after its runtime. */
  void setLoadReports(LoadReports reports) {
    loadReports = reports;
  }

  @Override
  public long now() {
    return loop.now();
  }

  /** A task never runs within the call that schedules it: other pending steps run first. */
  @Override
  public void schedule(long delay, Runnable task) {
    loop.schedule(Math.max(1, delay), task);
  }

  @Override
  public void sendAttempt(
      PendingRequest pending, int backend, long timeout, AttemptCallback callback) {
    InFlightRequest request = inFlight(pending);
    long allowedTime = timeout == 0 ? pending.deadline() - loop.now() : timeout;
    RequestAttempt attempt =
        new RequestAttempt(
            requestHandler,
            loadReports,
            request,
            endpoints.pool(backend),
            loop.now() + allowedTime,
            callback);
    attempt.setLatestStart(request.latestAttemptStart());
    request.addAttempt(attempt);
    if (request.isBodyConsumed()) {
      attempt.backend().attemptStarted();
      attempt.abandon(AttemptOutcome.DISCARDED);
      return;
    }
    boolean hasLongBody = request.body() != null;
    attempt.setTimeout(
        hasLongBody ? Math.max(allowedTime, BackendConnection.STALL_TIMEOUT) : allowedTime);
    attempt.backend().send(attempt);
  }

  @Override
  public void cancelAttempt(PendingRequest pending, int attempt) {
    inFlight(pending).attempt(attempt).abandon(AttemptOutcome.CANCELLED);
  }

  @Override
  public void reject(PendingRequest pending, long retryAfter) {
    requestHandler.reject(inFlight(pending), retryAfter);
  }

  @Override
  public void fail(PendingRequest pending) {
    requestHandler.fail(inFlight(pending));
  }

  private static InFlightRequest inFlight(PendingRequest pending) {
    return (InFlightRequest) pending.attachment();
  }

  @Override
  public void probeLoad(int backend, ProbeCallback callback) {
    LoadProbe probe = new LoadProbe(endpoints.pool(backend), settings, loadReports, callback);
    probe.setTimeout(settings.probeTimeout());
    probe.backend().send(probe);
  }

  @Override
  public void closeIdleConnections(int backend) {
    endpoints.pool(backend).closeIdleConnections();
  }

  @Override
  public void watchEndpoints() {
    endpoints.watchEndpoints();
  }

  @Override
  public void report(PolicyEvent event) {
    EventLog.info(event.kind().logWord(), Long.toString(event.subject()), event.detail());
  }
}
