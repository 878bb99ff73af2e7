package wheattrack.net.client;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import wheattrack.aio.EventLoop;
import wheattrack.aio.TcpConnection;
import wheattrack.config.TimeConversion;
import wheattrack.core.EvictionPriority;
import wheattrack.core.MemoryAccount;
import wheattrack.http.Encoder;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Request;
import wheattrack.http.RequestDecoder;
import wheattrack.http.Response;
import wheattrack.http.StatusCode;
import wheattrack.log.EventLog;
import wheattrack.net.protocol.ProtocolMapping;

/**
 * One client's connection; it carries one request at a time. {@link RequestBodyReader} does the
 * reading, {@link ConnectionTimeouts} bounds each wait for the client. Runs on the event loop's
 * thread only.
 */
public final class ClientConnection extends TcpConnection {
  /**
   * How long a connection without any request yet counts as just connected, and is not closed as
   * idle; tenths of a millisecond.
   */
  private static final long FIRST_REQUEST_GRACE = 2_560;

  /**
   * How long a client may take to send the first byte of a request before its connection may be
   * evicted for another; tenths of a millisecond. A client that connects to send a request does so
   * immediately, though on a busy machine it may be suspended in between. While the connection
   * limit is reached, each silent client occupies one of the connections for this long: with twice
   * this time, half as many clients got a response beside many silent ones.
   */
  static final long EVICTION_GRACE = 500;

  private final ClientListener listener;
  private final int slot;
  private final RequestDecoder decoder;
  private final ConnectionTimeouts timeouts;
  private final RequestBodyReader bodyReader;
  private final ClientMemory memory;

  /** Whether a request is open, or the connection is only waiting to be closed. */
  private boolean isBusy;

  private boolean isHeadRequest;

  private final long acceptedAt;
  private long receivedBytes;
  private long requestCount;

  /** When it connected, or its last response was written; tenths of a millisecond. */
  private long idleSince;

  /** When the first byte of the current head was received; tenths of a millisecond. */
  private long headSince;

  /** Whether the connection stays open after the current response. */
  private boolean isKeptAlive;

  /** Whether the client may still send bytes of a request that will not be read. */
  private boolean hasUnreadRequest;

  /** Whether all that the client sends is discarded until it closes. */
  private boolean isLingering;

  private long discardedBytes;

  /** Whether the response being written is an interim one. */
  private boolean isWritingInterim;

  /** The long response whose parts are being sent, or null. */
  private StreamedResponse streamedResponse;

  private Runnable disconnectCallback;

  /** Wraps an accepted connection and registers it with the listener. */
  ClientConnection(ClientListener listener, EventLoop loop, AsynchronousSocketChannel channel) {
    super(loop, channel);
    this.listener = listener;
    decoder = new RequestDecoder(listener.maxBodyBytes());
    timeouts = new ConnectionTimeouts(loop, this::onRequestTimeout, this::close);
    bodyReader =
        new RequestBodyReader(
            this, listener.readAheadBudget(), listener.arrivalChecker(), loop, decoder, timeouts);
    slot = listener.register(this);
    acceptedAt = loop.now();
    idleSince = acceptedAt;
    headSince = idleSince;
    memory = new ClientMemory(this, bodyReader, acceptedAt);
    countMemoryIn(new MemoryAccount(listener.memoryBudget(), memory));
  }

  /** Starts to read the first request. */
  void start() {
    timeouts.awaitHead();
    read(decoder.writableBuffer());
  }

  // ---- state

  /** When it connected, or its last response was written; tenths of a millisecond. */
  long idleSince() {
    return idleSince;
  }

  /**
   * Whether it is between two requests; a client that has just connected does not count as idle.
   */
  boolean isIdle() {
    return !isBusy
        && !isLingering
        && !decoder.isMidMessage()
        && (requestCount > 0 || !isJustConnected());
  }

  private boolean isJustConnected() {
    return loop.now() - idleSince <= FIRST_REQUEST_GRACE;
  }

  /** Whether a request is open on it. */
  boolean hasOpenRequest() {
    return isBusy && !isLingering;
  }

  /**
   * Whether it only waits for the client to close, and discards the bytes that are still received.
   */
  boolean isLingering() {
    return isLingering;
  }

  /** Whether a request is open on it, or it only waits to be closed. */
  boolean isBusy() {
    return isBusy;
  }

  /** Whether a long response is being sent. */
  boolean isStreamingResponse() {
    return streamedResponse != null;
  }

  /** Whether a callback is set for the client's disconnect before its response. */
  boolean hasDisconnectCallback() {
    return disconnectCallback != null;
  }

  // ---- eviction

  /** Its present place in the order of eviction. */
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
    if (decoder.isMidMessage() || loop.now() - idleSince <= EVICTION_GRACE) {
      return EvictionPriority.NEVER;
    }
    return requestCount > 0 ? EvictionPriority.IDLE : EvictionPriority.SILENT;
  }

  /**
   * Whether its client takes longer to send a head than is allowed while others wait. Without this
   * limit, many clients that each send half a head could occupy all connections for 2.4 s.
   */
  private boolean isHeadSlow() {
    return decoder.isMidMessage()
        && !decoder.isInBody()
        && loop.now() - headSince > ConnectionTimeouts.HEAD_TIMEOUT_WHEN_FULL;
  }

  /** Closes it in a later step, unless it may no longer be evicted by then. */
  void evict() {
    EventLog.detail("client to be evicted", null, () -> evictionPriority() + ", " + description());
    loop.execute(
        () -> {
          EvictionPriority priority = evictionPriority();
          if (priority != EvictionPriority.NEVER && !isClosed()) {
            EventLog.detail("client evicted", null, () -> priority + ", " + description());
            listener.counters().countEviction(priority);
            close();
          }
        });
  }

  /** The client's address, the connection's age and its traffic, for the log. */
  private String description() {
    return remoteAddressText()
        + ", age "
        + (loop.now() - acceptedAt) / TimeConversion.TICKS_PER_MILLISECOND
        + " ms, "
        + receivedBytes
        + " bytes, "
        + requestCount
        + " reqs";
  }

  // ---- memory

  @Override
  protected long bufferedBytes() {
    return decoder.heldBytes() + bodyReader.heldBytes() + memory.openRequestBytes();
  }

  /** Drops the bytes that were received beyond the open request, and all that follow. */
  void dropReadAhead() {
    bodyReader.dropReadAhead();
    updateMemory();
  }

  /** Since when the pending write waits for the client; valid while {@link #isWriting}. */
  long writeSince() {
    return writingSince();
  }

  // ---- the request

  @Override
  protected void onRead(int n) {
    if (n < 0) {
      close();
      return;
    }
    memory.onProgress(loop.now());
    receivedBytes += n;
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

  @Override
  protected void onReadDropped(int count) {
    listener.counters().countDroppedRead();
    EventLog.detail("client closed unanswered", null, () -> "after " + count + " bytes were read");
  }

  private void discard(int count) {
    decoder.writableBuffer().clear();
    discardedBytes += count;
    if (decoder.isStreamingBody() && discardedBytes < listener.maxBodyBytes()) {
      timeouts.extendClose(); // some clients read the response only after sending their long body
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
      return;
    }
    if (decoder.isMidMessage()) {
      memory.onIncompleteRequest(loop.now());
    }
    if (decoder.isInBody()) {
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
    requestCount++;
    memory.onRequest(request);
    isHeadRequest = request.method().equals("HEAD");
    bodyReader.onRequest();
    timeouts.cancel();
    bodyReader.readMore();
    loop.execute(
        () -> { // in a later step, so that a pending disconnect is handled first
          if (!isClosed()) {
            listener.onRequest(this, request);
            bodyReader.readMore();
          }
        });
  }

  private void onRequestTimeout() {
    if (decoder.isMidMessage() && !isLingering) {
      rejectMalformed(
          StatusCode.REQUEST_TIMEOUT, "the request was not received completely in time");
    } else {
      close();
    }
  }

  /**
   * Responds to a malformed or incomplete request, and closes the connection after that. If it is
   * the body of the open request that is malformed or incomplete, that request is handled as if its
   * client had disconnected.
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
    decoder.discardBufferedBody();
    sendResponse(ProtocolMapping.textResponse(status, reason, false));
  }

  /**
   * Sets the callback that runs once if the client disconnects before its response, or if the body
   * of its request is malformed or incomplete.
   */
  public void onDisconnect(Runnable callback) {
    disconnectCallback = callback;
  }

  /**
   * The rest of the open request's long body; null: the request was received complete. It is the
   * body of this one request, also after the connection has received others.
   */
  public RequestBody requestBody() {
    return bodyReader.body();
  }

  // ---- the response

  /**
   * Sends the one response to the open request, or the first part of a long one; does nothing on a
   * closed connection.
   */
  public void sendResponse(Response response) {
    disconnectCallback = null;
    memory.onResponse();
    bodyReader.endBody();
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

  /**
   * Sends the head and first bytes of a long response.
   *
   * @param rest notified when the parts sent so far are written; sends the following ones
   */
  public void sendStreamedResponse(Response head, StreamedResponse rest) {
    sendResponse(head);
    streamedResponse = rest;
  }

  /** Sends a further part of a long response, framed for the client. */
  public void sendResponsePart(ByteBuffer bytes) {
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
    if (isComplete && streamedResponse != null) {
      if (!streamedResponse.onPartsWritten()) {
        return;
      }
      streamedResponse = null;
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
    idleSince = loop.now();
    timeouts.awaitNextRequest();
    if (bodyReader.isDecoderAvailable()) {
      decodeRequest();
      bodyReader.readMore();
    }
  }

  /**
   * Waits for the client to close. Closing first, while the client still sends, would reset the
   * connection, and the client might lose the response.
   */
  private void linger() {
    isLingering = true;
    memory.onProgress(loop.now());
    timeouts.awaitClose();
    shutdownOutput();
    bodyReader.readMore();
  }

  @Override
  public void close() {
    if (isClosed()) {
      return;
    }
    EventLog.detail("client closed", null, this::description);
    super.close();
    timeouts.cancel();
    listener.onClosed(slot);
    bodyReader.close();
    if (streamedResponse != null) {
      streamedResponse.onClientClosed();
    } else if (disconnectCallback != null) {
      disconnectCallback.run();
    }
  }
}
