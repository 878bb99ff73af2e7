package wheattrack.lab.sockets;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import wheattrack.http.Encoder;
import wheattrack.http.Headers;
import wheattrack.http.Request;
import wheattrack.lab.load.RequestPlan;
import wheattrack.lab.model.ClientRequest;
import wheattrack.lab.scenario.Scenario;

/** A client's request, encoded as HTTP. */
final class EncodedRequest {
  private final ClientRequest clientRequest;
  private final ByteBuffer bytes;
  private boolean isAccepted;

  EncodedRequest(ClientRequest clientRequest) {
    this.clientRequest = clientRequest;
    bytes = Encoder.request(httpRequest(clientRequest));
  }

  private static Request httpRequest(ClientRequest clientRequest) {
    RequestPlan plan = clientRequest.plan();
    double timeout = plan.workload().requestClass().clientTimeout();
    Headers headers =
        new Headers()
            .with("Host", "lab")
            .with("Request-Id", Long.toHexString(clientRequest.requestId()))
            .with("Request-Timeout", Double.toString(timeout / Scenario.SECOND));
    if (plan.hint() > 0) {
      long hint = Math.max(1, Math.round(plan.hint() * Scenario.MICROSECONDS_PER_UNIT));
      headers.with("Work-Hint", Long.toString(hint));
    }
    if (clientRequest.isRetry()) {
      headers.with("Client-Retry", "1");
    }
    String body = "req " + clientRequest.requestId();
    return new Request(
        "POST",
        "/" + plan.workload().name(),
        headers,
        true,
        body.getBytes(StandardCharsets.US_ASCII));
  }

  ClientRequest clientRequest() {
    return clientRequest;
  }

  /** A new buffer over the bytes of the complete request, positioned at the first one. */
  ByteBuffer bytes() {
    return bytes.duplicate();
  }

  /** How long the client waits for the answer, in tenths of a millisecond. */
  long timeout() {
    return clientRequest.plan().workload().requestClass().clientTimeout();
  }

  /** Whether its last byte has been written, on any connection. */
  boolean isAccepted() {
    return isAccepted;
  }

  void markAccepted() {
    isAccepted = true;
  }
}
