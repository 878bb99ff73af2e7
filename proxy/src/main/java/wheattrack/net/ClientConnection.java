package wheattrack.net;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import wheattrack.aio.EventLoop;
import wheattrack.aio.TcpConnection;
import wheattrack.http.Encoder;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Request;
import wheattrack.http.RequestDecoder;
import wheattrack.http.Response;

/**
 * One client's connection; it has one request open at a time. {@link RequestBodyReader} does the
 * reading, {@link ConnectionTimeouts} bounds each wait for the client. Runs on the event loop's
 * thread only.
 */
final class ClientConnection extends TcpConnection {
  /**
   * How long a connection without any request yet counts as just connected, and is not evicted
   * first; tenths of a millisecond.
   */
  private static final long FIRST_REQUEST_GRACE = 2_560;

  private final ClientListener listener;
  private final int slot;
  private final RequestDecoder decoder;
  private final ConnectionTimeouts timeouts;
  private final RequestBodyReader bodyReader;

  /** Whether a request is open, or the connection only waits to be closed. */
  private boolean isBusy;

  private boolean hasHadRequest;
  private boolean isHeadRequest;

  /** When it connected, or had its last response; tenths of a millisecond. */
  private long idleSince;

  /** When the first byte of the present head came; tenths of a millisecond. */
  private long headSince;

  /** Whether the present response lets the connection serve on. */
  private boolean isKeptAlive;

  /** Whether the client may still send what nobody will read. */
  private boolean hasUnreadRequest;

  /** Whether all that the client sends is discarded until it closes. */
  private boolean isLingering;

  private long discardedBytes;

  /** Whether what is being written is an interim response. */
  private boolean isWritingInterim;

  /** The long response that is under way, or null. */
  private ResponseRelay responseRelay;

  private Runnable disconnectCallback;

  /** Takes a connection that was accepted, and a place of the listener's. */
  ClientConnection(ClientListener listener, EventLoop loop, AsynchronousSocketChannel channel) {
    super(loop, channel);
    this.listener = listener;
    decoder = new RequestDecoder(listener.maxBodyBytes());
    timeouts = new ConnectionTimeouts(loop, this::onRequestTimeout, this::close);
    bodyReader = new RequestBodyReader(this, listener.readAheadBudget(), loop, decoder, timeouts);
    slot = listener.register(this);
    idleSince = loop.now();
    headSince = idleSince;
  }

  /** Begins to read. */
  void start() {
    timeouts.awaitHead();
    read(decoder.writableBuffer());
  }

  // ---- what the connection is doing

  /** When it connected, or had its last response; tenths of a millisecond. */
  long idleSince() {
    return idleSince;
  }

  /** Whether it is between two requests; one that has just connected is about to send one. */
  boolean isIdle() {
    return !isBusy
        && !isLingering
        && !decoder.isMidMessage()
        && (hasHadRequest || !isJustConnected());
  }

  private boolean isJustConnected() {
    return loop.now() - idleSince <= FIRST_REQUEST_GRACE;
  }

  /** Whether a request of it is open. */
  boolean hasOpenRequest() {
    return isBusy && !isLingering;
  }

  /** Whether it only waits for the client to close, and discards what that still sends. */
  boolean isLingering() {
    return isLingering;
  }

  /** Whether a long response is under way. */
  boolean isRelayingResponse() {
    return responseRelay != null;
  }

  /** Whether somebody wants to know of the client's disconnecting before its response. */
  boolean hasDisconnectCallback() {
    return disconnectCallback != null;
  }

  // ---- eviction

  /** How soon it is closed to make room for another. */
  EvictionPriority evictionPriority() {
    if (isLingering) {
      return EvictionPriority.LINGERING;
    }
    if (isBusy) {
      return EvictionPriority.NEVER;
    }
    if (isHeadSlow()) {
      return EvictionPriority.SLOW_HEAD;
    }
    if (decoder.isMidMessage()) {
      return EvictionPriority.NEVER;
    }
    return hasHadRequest || isJustConnected() ? EvictionPriority.IDLE : EvictionPriority.SILENT;
  }

  /**
   * Whether its head takes longer than it may while others wait. Incident: a crowd of clients with
   * half a head each held all places for 2.4 s.
   */
  private boolean isHeadSlow() {
    return decoder.isMidMessage()
        && !decoder.isInBody()
        && loop.now() - headSince > ConnectionTimeouts.HEAD_TIMEOUT_WHEN_FULL;
  }

  /** Closes it in a later step, unless a request has come by then. */
  void evict() {
    loop.execute(
        () -> {
          if (evictionPriority() != EvictionPriority.NEVER) {
            close();
          }
        });
  }

  // ---- the request

  @Override
  protected void onRead(int n) {
    if (n < 0) {
      close();
      return;
    }
    bodyReader.onRead(n);
    if (isLingering) {
      discard(n);
    } else if (bodyReader.isPartAwaited()) {
      bodyReader.deliverPart();
    } else if (!isBusy) {
      decodeRequest();
    }
    bodyReader.readMore();
  }

  private void discard(int count) {
    decoder.writableBuffer().clear();
    discardedBytes += count;
    if (decoder.isStreamingBody() && discardedBytes < listener.maxBodyBytes()) {
      timeouts.extendClose(); // a long body still comes: its client reads only after it
    }
  }

  private void decodeRequest() {
    Request request;
    try {
      request = decoder.next();
    } catch (MalformedMessageException e) {
      rejectMalformed(e.status(), e.getMessage());
      return;
    }
    if (request != null) {
      onRequest(request);
    } else if (decoder.isInBody()) {
      bodyReader.awaitRestOfRequest();
      if (decoder.expectsContinue()) {
        isWritingInterim = true;
        write(Encoder.continueResponse());
      }
    } else if (decoder.isMidMessage() && timeouts.isHeadUntimed()) {
      headSince = loop.now();
      timeouts.awaitHead();
    }
  }

  private void onRequest(Request request) {
    isBusy = true;
    hasHadRequest = true;
    isHeadRequest = request.method().equals("HEAD");
    bodyReader.onRequest();
    timeouts.cancel();
    bodyReader.readMore();
    loop.execute(
        () -> { // if its client has disconnected by now, that is handled first
          if (!isClosed()) {
            listener.onRequest(this, request);
            bodyReader.readMore();
          }
        });
  }

  private void onRequestTimeout() {
    if (decoder.isMidMessage() && !isLingering) {
      rejectMalformed(408, "the request did not come whole");
    } else {
      close();
    }
  }

  /**
   * Responds to what is no request, or not a complete one, and closes the connection after it. A
   * request that the body was to belong to counts as abandoned by its client.
   */
  void rejectMalformed(int status, String reason) {
    listener.logErrorResponse(status, reason);
    Runnable callback = disconnectCallback;
    disconnectCallback = null;
    if (callback != null) {
      callback.run();
    }
    isBusy = true;
    hasUnreadRequest = true;
    sendResponse(ProtocolMapping.textAnswer(status, reason, false));
  }

  /**
   * Sets what is to be done should the client disconnect before its response, or end its request by
   * a malformed body.
   */
  void onDisconnect(Runnable callback) {
    disconnectCallback = callback;
  }

  /** Asks for the next part of the long body of the request that is open. */
  void requestBodyPart(RequestBodyReader.BodyPartConsumer consumer) {
    bodyReader.requestPart(consumer);
  }

  /** Asks for no part of the body any more; what has come and was not asked for is kept. */
  void cancelBodyRequest() {
    bodyReader.cancelRequest();
  }

  // ---- the response

  /** Sends the one response to the open request, or the first part of a long one. */
  void sendResponse(Response response) {
    disconnectCallback = null;
    if (isClosed()) {
      return;
    }
    Response sent = isHeadRequest ? response.withoutBody() : response;
    if (bodyReader.hasUnreadableBytes()) {
      hasUnreadRequest = true;
      sent = sent.closingConnection();
    }
    isKeptAlive = sent.keepAlive();
    timeouts.awaitWrite();
    write(Encoder.response(sent));
  }

  /** Sends the head and first bytes of a long response; the relay brings what follows. */
  void sendStreamedResponse(Response head, ResponseRelay relay) {
    sendResponse(head);
    responseRelay = relay;
  }

  /** Sends a further part of a long response, framed for the client. */
  void sendResponsePart(ByteBuffer bytes) {
    if (!isClosed()) {
      timeouts.awaitWrite();
      write(bytes);
    }
  }

  @Override
  protected void onWritten(boolean isComplete) {
    if (isClosed()) {
      return;
    }
    if (isWritingInterim) {
      isWritingInterim = false;
      return;
    }
    timeouts.cancel();
    if (isComplete && responseRelay != null) {
      if (!responseRelay.onClientDrained()) {
        return;
      }
      responseRelay = null;
    }
    if (!isComplete) {
      close();
    } else if (isKeptAlive) {
      awaitNextRequest();
    } else if (hasUnreadRequest) {
      linger();
    } else {
      close();
    }
  }

  private void awaitNextRequest() {
    isBusy = false;
    bodyReader.onResponseComplete();
    idleSince = loop.now();
    timeouts.awaitNextRequest();
    if (bodyReader.isDecoderAvailable()) {
      decodeRequest();
      bodyReader.readMore();
    }
  }

  /** Waits for the client to close: what it goes on sending would reset the response. */
  private void linger() {
    isLingering = true;
    timeouts.awaitClose();
    shutdownOutput();
    bodyReader.readMore();
  }

  @Override
  public void close() {
    if (isClosed()) {
      return;
    }
    super.close();
    timeouts.cancel();
    listener.onClosed(slot);
    bodyReader.close();
    if (responseRelay != null) {
      responseRelay.onClientClosed();
    } else if (disconnectCallback != null) {
      disconnectCallback.run();
    }
  }
}
