package wheattrack.net.request;

import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.core.RequestCounters.FinalAnswer;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.log.EventLog;
import wheattrack.net.backend.BackendAttempt;
import wheattrack.net.backend.BackendConnectionPool;
import wheattrack.net.backend.RequestBodySource;
import wheattrack.net.backend.ResponseBodyReceiver;
import wheattrack.net.protocol.ProtocolMapping;

/**
 * One attempt of a request. Its answer goes to the client at once if the request is still open; its
 * outcome reaches the policy in a step of its own. Runs on the event loop's thread only.
 */
final class RequestAttempt extends BackendAttempt {
  /**
   * An answer of unknown length is buffered for the latency objective divided by this, counted from
   * the request's arrival.
   */
  private static final long BUFFERING_DIVISOR = 2;

  private final RequestHandler requestHandler;
  private final LoadReports loadReports;
  private final InFlightRequest request;
  private final long deadline;
  private final AttemptCallback callback;

  /**
   * Creates an attempt that is sent now.
   *
   * @param deadline until when the proxy waits for its answer; sent to the backend as the time that
   *     is left
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
    this.callback = callback;
  }

  @Override
  protected Request buildRequest() {
    return ProtocolMapping.forwardedRequest(request.parsed().message(), deadline - loop().now());
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
   * With the first bytes of its answer the attempt is done for the policy, and the request for its
   * deadline; the rest is only passed on.
   */
  @Override
  protected ResponseBodyReceiver onStreamingAnswer(Response head) {
    loadReports.onAnswer(backend(), head);
    if (request.isSettled()) {
      deferStreamedOutcome();
      return null;
    }
    Response answer = requestHandler.toClientAnswer(request, head);
    EventLog.detail("dispatch", request.id(), this::describeStreaming);
    ResponseRelay relay =
        new ResponseRelay(
            connection(), request.client(), answer.remainingBody(), this::onRelayEnded);
    requestHandler.beginStreaming(request, answer, relay);
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
  protected void onEnd(AttemptOutcome finalOutcome, Response answer) {
    EventLog.detail("dispatch", request.id(), () -> describeEnd(finalOutcome));
    if (finalOutcome == AttemptOutcome.DONE && !request.isSettled()) {
      requestHandler.answer(
          request, FinalAnswer.DONE, requestHandler.toClientAnswer(request, answer));
    }
    loadReports.onAnswer(backend(), answer);
    // Incident "bad clients": backends were blamed for requests that were at fault themselves.
    boolean isClientError =
        finalOutcome == AttemptOutcome.ERROR && ProtocolMapping.isClientError(answer);
    if (isClientError && !request.isSettled()) {
      requestHandler.failWithClientError(request, answer.status());
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
