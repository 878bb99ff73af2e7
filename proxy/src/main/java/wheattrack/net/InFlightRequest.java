package wheattrack.net;

import java.util.ArrayList;
import java.util.List;
import wheattrack.api.PendingRequest;
import wheattrack.api.RequestHandle;
import wheattrack.core.TimerQueue;

/** A req at the door: who asked, what was sent for it and what the module left for it. */
final class InFlightRequest {
  final ClientConnection client;
  final ParsedRequest call;
  final List<BackendAttempt> dispatches = new ArrayList<>(2);
  int slot;
  PendingRequest req;
  TimerQueue.Timer guard;
  RequestHandle held;

  /** Of a long req, what of its body is still to come when it is taken; else null. */
  RequestBodyRelay body;

  boolean over;

  InFlightRequest(ClientConnection client, ParsedRequest call) {
    this.client = client;
    this.call = call;
  }
}
