package wheattrack.net.request;

import java.util.logging.Level;
import wheattrack.aio.EventLoop;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.Idempotency;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.config.DynamicSettings;
import wheattrack.config.Settings;
import wheattrack.config.TimeConversion;
import wheattrack.core.RequestCounters;
import wheattrack.core.RequestCounters.FinalAnswer;
import wheattrack.core.SlotTable;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.http.StatusCode;
import wheattrack.log.EventLog;
import wheattrack.net.backend.BackendAttempt;
import wheattrack.net.client.ClientConnection;
import wheattrack.net.client.ClientListener;
import wheattrack.net.discovery.EndpointDiscovery;
import wheattrack.net.lease.IdLeaseTable;
import wheattrack.net.protocol.InvalidRequestException;
import wheattrack.net.protocol.ParsedRequest;
import wheattrack.net.protocol.ProtocolMapping;
import wheattrack.net.settings.SettingsApplier;

/**
 * Handles requests from their receipt to their final answer: passes them to the policy, enforces
 * their deadlines, handles the disconnect of clients, and gives each request its one final answer.
 * Times are tenths of a millisecond. Runs on the event loop's thread only, but for its creation
 * before the loop runs and for {@link #openRequests}.
 */
public final class RequestHandler implements ClientListener.RequestReceiver {
  /**
   * The deadline is earlier than the client's timeout by the timeout divided by this, so that the
   * response arrives before the client stops waiting.
   */
  private static final long RESPONSE_MARGIN_DIVISOR = 200;

  /** The least time between the deadline and the client's timeout. */
  private static final long MIN_RESPONSE_MARGIN = 10;

  /**
   * Time after a deadline that the policy has to end the request; after it, the request fails
   * without the policy.
   */
  private static final long DEADLINE_GRACE = 50;

  /**
   * Least time between the last deadline and the end of the process, which leaves time after the
   * grace for writing the responses.
   */
  private static final long SHUTDOWN_MARGIN = 2 * DEADLINE_GRACE;

  private final EventLoop loop;
  private final RequestCounters counters;
  private final SettingsApplier settingsApplier;
  private final LoadBalancer loadBalancer;
  private final SlotTable<InFlightRequest> openRequests = new SlotTable<>();

  /** Identifiers of open requests, and of those that may still run after a disconnect. */
  private final ReservedIds reservedIds;

  private ClientListener listener;

  /** When this process ends; all requests have their final answer before that. */
  private long shutdownTime = Long.MAX_VALUE;

  /**
   * Creates a handler together with its policy, which starts immediately; {@link #setListener} must
   * be called before the first request.
   *
   * @param endpoints notifies the policy of the endpoint list from now on
   * @param seed of the policy's random numbers
   * @param loadHeader header of backends' responses that holds a load report; empty: none does
   * @param idLeases the identifiers that other processes of this proxy have reserved
   */
  public RequestHandler(
      EventLoop loop,
      EndpointDiscovery endpoints,
      RequestCounters counters,
      Settings settings,
      long seed,
      String loadHeader,
      IdLeaseTable idLeases) {
    this.loop = loop;
    reservedIds = new ReservedIds(loop, idLeases);
    this.counters = counters;
    settingsApplier = new SettingsApplier(endpoints, counters);
    SocketPolicyRuntime runtime = new SocketPolicyRuntime(loop, endpoints, this, settingsApplier);
    loadBalancer = settingsApplier.createLoadBalancer(settings, runtime, seed);
    runtime.setLoadReports(new LoadReports(loadBalancer, loadHeader));
    endpoints.setLoadBalancer(loadBalancer);
  }

  /** Sets the listener whose clients' requests this handler receives. */
  public void setListener(ClientListener clientListener) {
    listener = clientListener;
  }

  /**
   * Applies new settings, all in one step; open requests keep the class that they were accepted
   * with.
   *
   * @param settings those of the configuration file
   * @param dynamicSettings those of the watched source, which take precedence; null or empty: none
   */
  public void applySettings(Settings settings, DynamicSettings dynamicSettings) {
    settingsApplier.apply(settings, dynamicSettings);
  }

  /** Sets when this process ends: no request may wait for longer. */
  public void setShutdownTime(long time) {
    shutdownTime = time;
  }

  /** Sets whether another process of this proxy is present. */
  public void setOtherProcessPresent(boolean isPresent) {
    loadBalancer.setOtherProcessPresent(isPresent);
  }

  /** The number of open requests; another thread may see a slightly outdated value. */
  public int openRequests() {
    return openRequests.size();
  }

  /** The number of listed backends that the policy has ejected. */
  public int ejectedBackends() {
    return loadBalancer.ejectedCount();
  }

  // ---- requests from clients

  /** Counts a request that the listener rejects as too many clients are connected. */
  @Override
  public void onRejected(Request message) {
    String className = ProtocolMapping.className(message);
    if (settingsApplier.classes().containsKey(className)) {
      counters.countAnswer(className, FinalAnswer.REJECTED);
    }
  }

  @Override
  public void onRequest(ClientConnection client, Request message) {
    ParsedRequest parsed;
    try {
      parsed = ProtocolMapping.parse(message, settingsApplier.classes());
      reserveId(parsed);
    } catch (InvalidRequestException e) {
      rejectInvalid(client, message, e);
      return;
    }
    accept(new InFlightRequest(client, parsed));
  }

  /**
   * Reserves a request's identifier. Without this, a client that repeats a request which is still
   * open, here or at another process of this proxy, would have both copies sent to backends.
   *
   * @throws InvalidRequestException if the identifier is reserved already
   */
  private void reserveId(ParsedRequest parsed) throws InvalidRequestException {
    if (!reservedIds.add(parsed.id(), parsed.timeout())) {
      throw new InvalidRequestException(
          StatusCode.CONFLICT, "a request with this Request-Id is open");
    }
  }

  private void rejectInvalid(
      ClientConnection client, Request message, InvalidRequestException reason) {
    listener.logErrorResponse(reason.status(), reason.getMessage());
    boolean keepAlive = listener.mayKeepAlive(message.keepAlive());
    client.sendResponse(
        ProtocolMapping.textResponse(reason.status(), reason.getMessage(), keepAlive));
  }

  private void accept(InFlightRequest request) {
    ClientConnection client = request.client();
    ParsedRequest parsed = request.parsed();
    int slot = openRequests.add(request);
    client.onDisconnect(() -> onClientDisconnected(request));
    PendingRequest pending =
        new PendingRequest(
            parsed.requestClass(),
            loop.now(),
            deadline(parsed.timeout()),
            parsed.costHint(),
            parsed.clientRetry(),
            request);
    boolean hasLongBody = client.requestBody() != null;
    RequestBodyRelay body =
        hasLongBody
            ? new RequestBodyRelay(client.requestBody(), () -> onBodyComplete(request))
            : null;
    request.open(slot, pending, body);
    if (hasLongBody) {
      startBodyDeadline(request);
    } else {
      startDeadlineGuard(request);
    }
    request.setHandle(loadBalancer.accept(pending));
    if (hasLongBody && !request.isSettled()) {
      request.handle().streamingStarted(0); // only its first attempt can send the body
    }
  }

  private long deadline(long clientTimeout) {
    long margin = Math.max(MIN_RESPONSE_MARGIN, clientTimeout / RESPONSE_MARGIN_DIVISOR);
    return Math.min(loop.now() + clientTimeout - margin, latestDeadline());
  }

  private long latestDeadline() {
    return shutdownTime - SHUTDOWN_MARGIN;
  }

  private void startDeadlineGuard(InFlightRequest request) {
    long delay = request.pending().deadline() + DEADLINE_GRACE - loop.now();
    request.setDeadlineGuard(loop.schedule(delay, () -> onDeadlineMissed(request)));
  }

  /** Only a bug leaves a request open past its deadline; the request fails even then. */
  private void onDeadlineMissed(InFlightRequest request) {
    EventLog.log(Level.SEVERE, "a req stood open past its due", request.id(), null);
    request.abandonAttempts(AttemptOutcome.TIMEOUT);
    if (!request.isSettled()) {
      fail(request);
    }
  }

  private void startBodyDeadline(InFlightRequest request) {
    long delay = request.pending().deadline() - loop.now();
    request.setDeadlineGuard(loop.schedule(delay, () -> onBodyDeadline(request)));
  }

  /**
   * The client's timeout has passed since the last byte of a long body may have arrived, as far as
   * was known. If the body is known to have been incomplete since, the request has more time; else
   * its attempt is abandoned, and the policy ends it.
   */
  private void onBodyDeadline(InFlightRequest request) {
    restartClock(request);
    if (loop.now() < request.pending().deadline()) {
      startBodyDeadline(request);
      return;
    }
    startDeadlineGuard(request);
    request.abandonAttempts(AttemptOutcome.TIMEOUT);
  }

  /** Lets the client's timeout run from the earliest time at which the body may be complete. */
  private void restartClock(InFlightRequest request) {
    long arrivedAt = Math.max(request.pending().arrivedAt(), request.body().incompleteAt());
    request.pending().restartClock(arrivedAt, latestDeadline());
  }

  /** The last byte of a long body has been read; it may have arrived before. */
  private void onBodyComplete(InFlightRequest request) {
    if (request.isSettled()) {
      return;
    }
    loop.cancel(request.deadlineGuard());
    restartClock(request);
    startDeadlineGuard(request);
    BackendAttempt attempt = request.latestAttempt();
    if (attempt != null) { // null while backends are still being probed for their load
      attempt.setTimeout(request.pending().deadline() - loop.now());
    }
  }

  private void onClientDisconnected(InFlightRequest request) {
    if (request.isSettled()) {
      return;
    }
    logEnd(request, "LEFT");
    settle(request);
    openRequests.remove(request.slot());
    if (request.body() != null && !request.body().isComplete()) {
      request.discardAttempts(); // the rest of the body will not be received
    }
    releaseIdOfDisconnected(request);
    if (request.handle() != null) {
      request.handle().clientDisconnected();
    }
  }

  /**
   * Releases the identifier of a request whose client has disconnected. The client may send the
   * request again under the same identifier, but unless it is idempotent, the second one must not
   * run at the same time as the first. If that may still run, the identifier is released at its
   * deadline.
   */
  private void releaseIdOfDisconnected(InFlightRequest request) {
    String key = ReservedIds.key(request.id());
    boolean isIdempotent = request.parsed().requestClass().idempotency() == Idempotency.IDEMPOTENT;
    if (!isIdempotent && request.mayHaveRun()) {
      long delay = request.pending().deadline() - loop.now();
      reservedIds.removeKeyAfter(key, delay);
    } else {
      reservedIds.removeKey(key);
    }
  }

  // ---- final answers

  /**
   * Gives the final answer to an open request.
   *
   * @param kind the kind of final answer that is counted and logged
   */
  void answer(InFlightRequest request, FinalAnswer kind, Response response) {
    settle(request);
    remove(request);
    counters.countAnswer(request.parsed().className(), kind);
    logEnd(request, kind.name());
    request.client().sendResponse(response);
  }

  /**
   * Rejects an open request.
   *
   * @param retryAfter how long the client should wait before it retries; 0: no advice
   */
  void reject(InFlightRequest request, long retryAfter) {
    Response response = ProtocolMapping.rejection(retryAfter, mayKeepAlive(request));
    answer(request, FinalAnswer.REJECTED, response);
  }

  /** Fails an open request; a backend may have executed it or not. */
  void fail(InFlightRequest request) {
    boolean isPastDeadline = loop.now() >= request.pending().deadline();
    int status = isPastDeadline ? StatusCode.GATEWAY_TIMEOUT : StatusCode.BAD_GATEWAY;
    failWith(request, status, "no usable response from a backend");
  }

  /** Fails an open request with the client error (4xx) with which a backend responded. */
  void failWithClientError(InFlightRequest request, int status) {
    failWith(request, status, "a backend responded with this status");
  }

  private void failWith(InFlightRequest request, int status, String text) {
    Response response = ProtocolMapping.textResponse(status, text, mayKeepAlive(request));
    answer(request, FinalAnswer.FAILED, response);
  }

  /** A backend's response as the client of this request receives it. */
  Response toClientResponse(InFlightRequest request, Response backendResponse) {
    return ProtocolMapping.forwardedResponse(
        backendResponse, mayKeepAlive(request), request.parsed().message().acceptsChunks());
  }

  /**
   * Begins the long response to an open request; {@link #endStreaming} must be called once after
   * that.
   *
   * @param head the head and the first bytes of the response
   * @param relay forwards the rest
   */
  void beginStreaming(InFlightRequest request, Response head, ResponseRelay relay) {
    settle(request);
    request.client().sendStreamedResponse(head, relay);
  }

  /** A long response has ended; its request counts as failed unless it was forwarded completely. */
  void endStreaming(InFlightRequest request, boolean complete) {
    remove(request);
    FinalAnswer kind = complete ? FinalAnswer.DONE : FinalAnswer.FAILED;
    counters.countAnswer(request.parsed().className(), kind);
  }

  /** Counts an attempt whose last byte has been written. */
  void onAttemptWritten() {
    counters.countAttempt();
  }

  private boolean mayKeepAlive(InFlightRequest request) {
    return listener.mayKeepAlive(request.parsed().message().keepAlive());
  }

  private void settle(InFlightRequest request) {
    request.markSettled();
    loop.cancel(request.deadlineGuard());
    request.discardUnstartedAttempts();
  }

  private void remove(InFlightRequest request) {
    openRequests.remove(request.slot());
    reservedIds.removeKey(ReservedIds.key(request.id()));
  }

  private void logEnd(InFlightRequest request, String end) {
    EventLog.detail("req", request.id(), () -> describeEnd(request, end));
  }

  private String describeEnd(InFlightRequest request, String end) {
    long millis =
        (loop.now() - request.pending().arrivedAt()) / TimeConversion.TICKS_PER_MILLISECOND;
    return end + " after " + millis + " ms, " + request.attemptCount() + " dispatches";
  }
}
