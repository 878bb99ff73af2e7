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
 * One proxy of the virtual run: its process, which starts and is killed, and the requests in flight
 * there. The policy makes the decisions.
 */
final class VirtualProxy extends ProxyHandle {
  /** Time after which an attempt to connect to a silent machine fails. */
  static final long CONNECT_TIMEOUT = 2_500;

  /** The client's timeout over the time that is reserved for writing the answer. */
  private static final long ANSWER_TIME_DIVISOR = 200;

  /** The least time that is reserved for writing the answer. */
  private static final long MIN_ANSWER_TIME = 10;

  /** The greatest cost hint that is passed to the policy. */
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

  /** Starts a process that knows nothing but the endpoint list that the last one cached. */
  @Override
  public void start() {
    beginIncarnation();
    endpoints.clearBackends();
    markUp();
    policy = policyFactory.create(runtime, seed + incarnation(), index());
    endpoints.startPolicy(policy);
    run.clients().setProxyAvailable(this, true);
  }

  /** Breaks all connections: clients and backends learn of it after a delay. */
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
    throw new IllegalStateException("not on the virtual clock");
  }

  @Override
  public void setClockSkew(double millis) {
    throw new IllegalStateException("not on the virtual clock");
  }

  /** Events of the endpoint list arrive: of the complete list, or of changes. */
  void endpointsChanged(List<EndpointEvent> events, boolean complete) {
    if (isUp()) {
      endpoints.receive(events, complete);
    }
  }

  /** The watch of the endpoint list is lost. */
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
      return; // the client disconnected before the request was here
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

  /** An attempt has brought the answer. */
  void succeed(VirtualRequest request) {
    close(request);
    answer(request, Answer.DONE, 0);
  }

  /** The policy rejects a request. */
  void reject(VirtualRequest request, long retryAfter) {
    close(request);
    answer(request, Answer.REJECTED, retryAfter);
  }

  /** The policy fails a request, or its deadline has passed. */
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
