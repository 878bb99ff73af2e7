package wheattrack.net.client;

import java.nio.ByteBuffer;
import wheattrack.aio.EventLoop;
import wheattrack.core.MinimumTransferRate;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.RequestDecoder;

/**
 * The body of one request, if it is not received together with its head: how long its client may
 * take to send it, and the delivery of its parts. It ends with the response to its request; after
 * that it delivers nothing, whoever still refers to it, so that no part reaches another request of
 * its connection. Times are tenths of a millisecond. Runs on the event loop's thread only.
 */
public final class RequestBody {
  /**
   * The longest time from the end of a head until enough of the body is received for the request to
   * be handled. The slowest client that is to be served needs 1.1 s, and one that stops must get
   * its response within 3 s of connecting.
   */
  private static final long START_TIMEOUT = 25_000;

  private final ClientConnection connection;
  private final RequestBodyReader reader;
  private final EventLoop loop;
  private final RequestDecoder decoder;
  private final ConnectionTimeouts timeouts;
  private final MinimumTransferRate transferRate = new MinimumTransferRate();

  /** When the head of the request was received. */
  private final long headReceivedAt;

  /** Tracks the arrival of the last byte; null until the request is open. */
  private BodyArrival arrival;

  /** Whether a part has been requested yet. */
  private boolean isRequested;

  /** Receives the next part; null: no part is requested. */
  private BodyPartConsumer consumer;

  /** Whether the last byte has been decoded. */
  private boolean isComplete;

  /**
   * The last part, held back until all other pending events are handled, as the client's disconnect
   * may be among them; or null.
   */
  private ByteBuffer lastPart;

  private boolean hasEnded;

  /** Begins a body whose head has been received. */
  RequestBody(
      ClientConnection connection,
      RequestBodyReader reader,
      EventLoop loop,
      RequestDecoder decoder,
      ConnectionTimeouts timeouts) {
    this.connection = connection;
    this.reader = reader;
    this.loop = loop;
    this.decoder = decoder;
    this.timeouts = timeouts;
    headReceivedAt = loop.now();
    transferRate.start(headReceivedAt);
  }

  /** Less has been received than is needed to handle the request: bounds the time for the rest. */
  void awaitStart() {
    long timeLeft = headReceivedAt + START_TIMEOUT - loop.now();
    timeouts.awaitBody(Math.min(timeLeft, transferRate.remaining(loop.now())));
  }

  /** The request is open from now on, and the rest of its body can be requested. */
  void open(BodyArrivalChecker arrivalChecker) {
    arrival = new BodyArrival(connection, loop, decoder, arrivalChecker);
    transferRate.pause(loop.now());
  }

  /** A read has completed. Must be called before its bytes are decoded. */
  void onRead(int count) {
    if (arrival != null) {
      arrival.onReadCompleted();
    }
    transferRate.received(loop.now(), count);
  }

  /**
   * The last time at which the body is known to have been incomplete: its last byte has arrived at
   * this machine no earlier than that, though it may not have been read yet.
   */
  public long incompleteAt() {
    return arrival.incompleteAt();
  }

  /** Whether a part has been requested yet. */
  boolean isRequested() {
    return isRequested;
  }

  /** Whether the next part is requested and has not been delivered yet. */
  boolean isPartRequested() {
    return consumer != null;
  }

  /** Whether the next part is requested and has not been received yet. */
  boolean isPartAwaited() {
    return consumer != null && lastPart == null;
  }

  /** The memory held here, in bytes. */
  long heldBytes() {
    return lastPart == null ? 0 : lastPart.capacity();
  }

  /**
   * Requests the next part; the consumer is called once, unless the request for the part is
   * cancelled or the body has ended.
   */
  public void requestPart(BodyPartConsumer next) {
    if (hasEnded) {
      return;
    }
    consumer = next;
    isRequested = true;
    if (lastPart != null) {
      loop.execute(this::deliverLastPart);
      return;
    }
    transferRate.resume(loop.now());
    timeouts.awaitBody(transferRate.remaining(loop.now()));
    if (reader.isDecoderAvailable()) { // else the part is delivered when the pending read completes
      deliverPart();
      reader.readMore();
    }
  }

  /** Cancels the request for a part; bytes already received are kept for the next one. */
  public void cancelRequest() {
    if (hasEnded) {
      return;
    }
    consumer = null;
    if (!isComplete) {
      transferRate.pause(loop.now());
      timeouts.cancel();
    }
  }

  /** Decodes the next part and delivers it, if there is one. */
  void deliverPart() {
    try {
      ByteBuffer part = decoder.nextBodyPart();
      reader.updateCount();
      if (!decoder.isStreamingBody()) {
        complete(part);
        return;
      }
      arrival.onDecoded();
      if (part.hasRemaining()) {
        deliver(part, false);
      } else {
        timeouts.awaitBody(transferRate.remaining(loop.now()));
      }
    } catch (MalformedMessageException e) {
      consumer = null;
      connection.rejectMalformed(e.status(), e.getMessage());
    }
  }

  private void complete(ByteBuffer part) {
    isComplete = true;
    lastPart = part;
    arrival.stop();
    timeouts.cancel();
    reader.readMore();
    loop.execute(this::deliverLastPart);
  }

  private void deliverLastPart() {
    if (lastPart != null && consumer != null) { // else it is delivered already or not requested
      ByteBuffer part = lastPart;
      lastPart = null;
      deliver(part, true);
    }
  }

  private void deliver(ByteBuffer part, boolean isLast) {
    BodyPartConsumer receiver = consumer;
    consumer = null;
    if (!isLast) {
      transferRate.pause(loop.now());
      timeouts.cancel();
    }
    receiver.accept(part, isLast);
  }

  /** The request has its response, or its connection is closed: nothing more is delivered. */
  void end() {
    hasEnded = true;
    consumer = null;
    lastPart = null;
    if (arrival != null) {
      arrival.stop();
    }
  }
}
