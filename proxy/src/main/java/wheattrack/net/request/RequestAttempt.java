package wheattrack.net.request;

import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.Idempotency;
import wheattrack.core.RequestCounters.FinalAnswer;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.log.EventLog;
import wheattrack.net.backend.BackendAttempt;
import wheattrack.net.backend.BackendConnectionPool;
import wheattrack.net.backend.RequestBodySource;
import wheattrack.net.backend.ResponseBodyReceiver;
import wheattrack.net.backend.ResponseVariety;
import wheattrack.net.protocol.ProtocolMapping;

/**
 * One attempt of a request. Its response is sent to the client immediately if the request is still
 * open. The policy receives its outcome in a separate step of the event loop. Times are tenths of a
 * millisecond. Runs on the event loop's thread only.
 */
final class RequestAttempt extends BackendAttempt {
  /**
   * A response of unknown length is buffered until the latency objective divided by this has passed
   * since the request's arrival.
   */
  private static final long BUFFERING_DIVISOR = 2;

  private final RequestHandler requestHandler;
  private final LoadReports loadReports;
  private final InFlightRequest request;
  private final long deadline;
  private final ResponseVariety responseVariety;
  private final AttemptCallback callback;

  /**
   * Creates an attempt that is sent now.
   *
   * @param deadline until when the proxy waits for its response; the time left until then is sent
   *     to the backend
   */
  RequestAttempt(
      RequestHandler requestHandler,
      LoadReports loadReports,
      InFlightRequest request,
      BackendConnectionPool backend,
      long deadline,
      AttemptCallback callback) {
    super(backend);
    this.requestHandler = requestHandler;
    this.loadReports = loadReports;
    this.request = request;
    this.deadline = deadline;
    responseVariety = backend.responseVariety(request.parsed().className());
    this.callback = callback;
  }

  @Override
  protected Request buildRequest() {
    return ProtocolMapping.forwardedRequest(request.parsed().message(), deadline - loop().now());
  }

  @Override
  protected boolean isNonIdempotent() {
    return request.pending().requestClass().isNonIdempotent();
  }

  @Override
  protected boolean isIdempotent() {
    return request.pending().requestClass().idempotency() == Idempotency.IDEMPOTENT;
  }

  /** A copy of an earlier response could not be told from the response to HEAD: it has no body. */
  @Override
  protected boolean needsNewConnection() {
    return request.parsed().message().method().equals("HEAD")
        || responseVariety.requiresNewConnection(isNonIdempotent());
  }

  @Override
  protected boolean isResponseAwaited() {
    return !request.isSettled();
  }

  @Override
  protected ResponseVariety responseVariety() {
    return responseVariety;
  }

  @Override
  protected long remainingBufferingTime() {
    return request.pending().arrivedAt()
        + request.pending().requestClass().latencyObjective() / BUFFERING_DIVISOR
        - loop().now();
  }

  @Override
  protected RequestBodySource body() {
    return request.body();
  }

  @Override
  protected void onRequestWritten() {
    requestHandler.onAttemptWritten();
  }

  /**
   * With the first bytes of a long response the policy counts the attempt as done, and the
   * request's deadline no longer applies; the rest of the response is only forwarded.
   */
  @Override
  protected ResponseBodyReceiver onStreamingResponse(Response head) {
    loadReports.onResponse(backend(), head);
    if (request.isSettled()) {
      deferStreamedOutcome();
      return null;
    }
    Response clientHead = requestHandler.toClientResponse(request, head);
    EventLog.detail("dispatch", request.id(), this::describeStreaming);
    ResponseRelay relay =
        new ResponseRelay(
            connection(), request.client(), clientHead.remainingBody(), this::onRelayEnded);
    requestHandler.beginStreaming(request, clientHead, relay);
    deferStreamedOutcome();
    return relay;
  }

  private void deferStreamedOutcome() {
    loop().defer(() -> callback.ended(AttemptOutcome.DONE, loop().now() - sentAt(), true));
  }

  private void onRelayEnded(boolean complete) {
    streamingEnded();
    requestHandler.endStreaming(request, complete);
  }

  @Override
  protected void onEnd(AttemptOutcome finalOutcome, Response response) {
    EventLog.detail("dispatch", request.id(), () -> describeEnd(finalOutcome));
    if (finalOutcome == AttemptOutcome.DONE && !request.isSettled()) {
      requestHandler.answer(
          request, FinalAnswer.DONE, requestHandler.toClientResponse(request, response));
    }
    loadReports.onResponse(backend(), response);
    // A 4xx response is the fault of the request: counted as an error, it would raise the failure
    // rate of a backend that works.
    boolean isClientError =
        finalOutcome == AttemptOutcome.ERROR && ProtocolMapping.isClientError(response);
    if (isClientError && !request.isSettled()) {
      requestHandler.failWithClientError(request, response.status());
    }
    AttemptOutcome reported = isClientError ? AttemptOutcome.DISCARDED : finalOutcome;
    loop().defer(() -> callback.ended(reported, loop().now() - sentAt(), request.isSettled()));
  }

  private String describeStreaming() {
    return "to "
        + backend().id()
        + " at "
        + sentAt()
        + ", a long answer after "
        + (loop().now() - sentAt());
  }

  private String describeEnd(AttemptOutcome finalOutcome) {
    return "to "
        + backend().id()
        + " at "
        + sentAt()
        + ", begun "
        + (isStarted() ? "after " + (startedAt() - sentAt()) : "never")
        + ", "
        + finalOutcome
        + " after "
        + (loop().now() - sentAt());
  }
}
