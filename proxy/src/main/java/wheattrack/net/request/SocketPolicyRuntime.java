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
 * The policy's runtime on sockets: provides the event loop's clock and timers, sends attempts and
 * probes over connections to backends, and writes the policy's events to the log. It makes no
 * decisions. The policy receives each outcome in a separate step of the event loop, never within
 * the call that caused it. Runs on the event loop's thread only, except for the start of the
 * policy, before the loop runs.
 */
final class SocketPolicyRuntime implements PolicyRuntime {
  private final EventLoop loop;
  private final EndpointDiscovery endpoints;
  private final RequestHandler requestHandler;
  private final SettingsApplier settings;
  private LoadReports loadReports;

  /**
   * Creates a runtime; {@link #setLoadReports} must be called before the loop runs.
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

  /**
   * Sets the reader of load reports, which needs the policy and so is created after the runtime.
   */
  void setLoadReports(LoadReports reports) {
    loadReports = reports;
  }

  @Override
  public long now() {
    return loop.now();
  }

  /** The task never runs within this call: other pending steps run first. */
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
      attempt.backend().attemptStarted(); // must precede the end, which counts it as ended
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
