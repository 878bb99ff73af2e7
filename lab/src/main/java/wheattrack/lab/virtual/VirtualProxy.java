package wheattrack.lab.virtual;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheattrack.api.AttemptCallback;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.RequestClass;
import wheattrack.lab.model.ClientRequest;
import wheattrack.lab.model.EndpointRegistry.EndpointEvent;
import wheattrack.lab.model.ProxyHandle;
import wheattrack.lab.model.SimulatedBackend;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.Answer;

/**
 * One proxy of the virtual run: its process, which can be started and killed, and the requests in
 * flight there. Its policy makes the decisions. Times are tenths of a millisecond.
 */
final class VirtualProxy extends ProxyHandle {
  /** Time until an attempt to connect to a silent backend fails. */
  static final long CONNECT_TIMEOUT = 2_500;

  /** The fraction of the client's timeout reserved for writing the answer is 1 over this. */
  private static final long ANSWER_TIME_DIVISOR = 200;

  /** The least time reserved for writing the answer. */
  private static final long MIN_ANSWER_TIME = 10;

  /** The greatest cost hint passed to the policy; greater ones are reduced to it. */
  private static final int MAX_COST_HINT = Integer.MAX_VALUE / 4;

  /** How long after its deadline a request may stay open before the proxy fails it. */
  private static final long DEADLINE_GRACE = 50;

  private final VirtualRun run;
  private final PolicyFactory policyFactory;
  private final long seed;
  private final PolicyRuntime runtime;
  private final VirtualEndpointList endpoints;
  private final Map<Long, VirtualRequest> requests = new LinkedHashMap<>();
  private LoadBalancer policy;

  VirtualProxy(
      VirtualRun run,
      VirtualDiscovery discovery,
      int index,
      PolicyFactory policyFactory,
      long seed) {
    super(run, index);
    this.run = run;
    this.policyFactory = policyFactory;
    this.seed = seed;
    runtime = new VirtualPolicyRuntime(run, discovery, this);
    endpoints = new VirtualEndpointList(run, index);
  }

  /** Starts a process without any state but the endpoint list that an earlier one cached. */
  @Override
  public void start() {
    beginIncarnation();
    endpoints.clearBackends();
    markUp();
    policy = policyFactory.create(runtime, seed + incarnation(), index());
    endpoints.startPolicy(policy);
    run.clients().setProxyAvailable(this, true);
  }

  /** Breaks all connections; clients and backends notice after the delay of the link. */
  @Override
  protected void stopProcess() {
    for (VirtualRequest request : requests.values()) {
      request.end();
      run.cancel(request.deadlineTimer());
      request.attempts().forEach(VirtualAttempt::proxyKilled);
      answer(request, Answer.CONNECTION_LOST, 0);
    }
    requests.clear();
    for (SimulatedBackend backend : run.backends()) {
      closeIdleConnections(backend);
    }
  }

  private void closeIdleConnections(SimulatedBackend backend) {
    VirtualConnections connections = endpoints.connectionsTo(backend);
    if (connections == null) {
      return;
    }
    for (int i = 0; i < connections.idleConnections(); i++) {
      backend.connectionClosed(connections.incarnation());
    }
  }

  @Override
  public void setPaused(boolean paused) {
    throw new IllegalStateException("pausing a proxy is not supported on the virtual clock");
  }

  @Override
  public void setClockSkew(double millis) {
    throw new IllegalStateException("clock skew of a proxy is not supported on the virtual clock");
  }

  /**
   * Receives events of the endpoint list.
   *
   * @param complete whether they are the complete list; otherwise they are changes
   */
  void endpointsChanged(List<EndpointEvent> events, boolean complete) {
    if (isUp()) {
      endpoints.receive(events, complete);
    }
  }

  /** Notifies the policy that the watch of the endpoint list has failed. */
  void endpointListFailed() {
    if (isUp()) {
      policy.endpointListFailed(false);
    }
  }

  @Override
  public void submit(ClientRequest request) {
    long sentAt = run.now();
    run.schedule(run.clientDelay(), () -> receive(request, sentAt));
  }

  private void receive(ClientRequest request, long sentAt) {
    if (!request.isOpen()) {
      return; // the client disconnected before the request arrived
    }
    if (!isUp()) {
      run.schedule(run.clientDelay(), () -> run.clients().connectionRefused(request));
      return;
    }
    run.record(
        LedgerRecord.requestAccepted(
            sentAt,
            request.requestId(),
            request.operation().id(),
            index(),
            request.deadline(),
            request.plan().workload().requestClass().index()));
    admit(request);
  }

  private void admit(ClientRequest clientRequest) {
    VirtualRequest request = new VirtualRequest(clientRequest);
    requests.put(clientRequest.requestId(), request);
    RequestClass requestClass = clientRequest.plan().workload().requestClass();
    long timeout = requestClass.clientTimeout();
    long answerTime = Math.max(MIN_ANSWER_TIME, timeout / ANSWER_TIME_DIVISOR);
    long now = runtime.now();
    long deadline = now + timeout - answerTime;
    double hint = Math.ceil(clientRequest.plan().hint());
    int costHint = (int) Math.min(MAX_COST_HINT, hint);
    request.setPending(
        new PendingRequest(
            requestClass, now, deadline, costHint, clientRequest.isRetry(), request));
    request.setDeadlineTimer(
        run.schedule(deadline + DEADLINE_GRACE - now, () -> deadlinePassed(request)));
    request.setHandle(policy.accept(request.pending()));
  }

  private void deadlinePassed(VirtualRequest request) {
    if (!request.hasEnded() && run.enforcesDeadlines()) {
      fail(request);
    }
  }

  @Override
  public void clientDisconnected(ClientRequest clientRequest) {
    VirtualRequest request = requests.get(clientRequest.requestId());
    if (request != null) {
      close(request);
      request.handle().clientDisconnected();
    }
  }

  /** Starts an attempt for the policy. */
  void startAttempt(VirtualRequest request, int backend, long timeout, AttemptCallback callback) {
    VirtualAttempt attempt =
        new VirtualAttempt(run, this, request, endpoints.connections(backend), callback);
    request.attempts().add(attempt);
    attempt.start(timeout);
  }

  /** Sends the client the answer of a successful attempt. */
  void succeed(VirtualRequest request) {
    close(request);
    answer(request, Answer.DONE, 0);
  }

  /** Sends the client a rejection. */
  void reject(VirtualRequest request, long retryAfter) {
    close(request);
    answer(request, Answer.REJECTED, retryAfter);
  }

  /** Sends the client a failure, by decision of the policy or because the deadline has passed. */
  void fail(VirtualRequest request) {
    close(request);
    answer(request, Answer.FAILED, 0);
  }

  private void close(VirtualRequest request) {
    request.end();
    requests.remove(request.clientRequest().requestId());
    run.cancel(request.deadlineTimer());
    request.discardUnsentAttempts();
  }

  private void answer(VirtualRequest request, Answer answer, long retryAfter) {
    run.schedule(
        run.clientDelay(),
        () -> run.clients().answered(request.clientRequest(), answer, retryAfter));
  }
}
