package wheattrack.net.backend;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import wheattrack.aio.TcpConnection;
import wheattrack.api.AttemptOutcome;
import wheattrack.core.MemoryAccount;
import wheattrack.core.NoReuseReason;
import wheattrack.core.TimerQueue;
import wheattrack.http.Encoder;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.http.ResponseDecoder;
import wheattrack.http.StatusCode;
import wheattrack.log.EventLog;
import wheattrack.net.protocol.ProtocolMapping;

/**
 * One connection to a backend; it carries one attempt at a time. Runs on the event loop's thread
 * only.
 */
public final class BackendConnection extends TcpConnection {
  /**
   * How long the sending of a long response by the backend, or of a long request body to it, may
   * pause; tenths of a millisecond.
   */
  public static final long STALL_TIMEOUT = 100_000;

  private enum State {
    /** The connection is being made. */
    CONNECTING,
    /** It carries an attempt, or delivers the rest of a long response. */
    IN_USE,
    /** It carries no attempt, and waits in its pool for one. */
    IDLE,
    /** It is closed. */
    CLOSED
  }

  private final BackendConnectionPool pool;
  private final Connector connector;
  private final ResponseDecoder decoder;
  private final ResponseMatcher matcher = new ResponseMatcher();
  private final BackendMemory memory = new BackendMemory(this);
  private final InetSocketAddress remoteAddress;
  private final long openedAt;
  private final int slot;
  private State state = State.CONNECTING;

  /** The attempt whose response is awaited, or null. */
  private BackendAttempt currentAttempt;

  /** The attempt whose request is not completely written, or null. */
  private BackendAttempt attemptBeingWritten;

  /** Provides what is still to be written of a long request body, or null. */
  private RequestBodySource bodySource;

  private boolean isBodyChunked;

  /** Receives the rest of the long response that is being read, or null. */
  private ResponseBodyReceiver responseReceiver;

  /** Whether the connection may carry another attempt after the response that is being read. */
  private boolean isReusable;

  /** Whether a response of unknown length is being buffered, as it may be a short one. */
  private boolean isBufferingResponse;

  /** Whether that response may be handled as a long one as soon as it is known not to be a copy. */
  private boolean isBufferingTimeOver;

  /** Whether the connection broke while the request was being written. */
  private boolean isBroken;

  /** When it became idle; tenths of a millisecond. */
  private long idleSince;

  /** From when on it may be used again; tenths of a millisecond. */
  private long usableFrom;

  /** Bounds connecting, idle time, the buffering of a response, or a stall of a response. */
  private TimerQueue.Timer timer;

  /**
   * Registers itself with the connector, which limits the number of connections; {@link
   * #startConnecting} must be called after that.
   */
  BackendConnection(
      BackendConnectionPool pool, AsynchronousSocketChannel channel, Connector connector) {
    super(pool.loop, channel);
    this.pool = pool;
    this.connector = connector;
    decoder = new ResponseDecoder(connector.maxBodyBytes());
    remoteAddress = pool.address();
    openedAt = loop.now();
    slot = connector.register(this);
    countMemoryIn(new MemoryAccount(connector.memoryBudget(), memory));
  }

  /** The attempt whose response is awaited, or null. */
  BackendAttempt currentAttempt() {
    return currentAttempt;
  }

  /** The backend's address. */
  InetSocketAddress remoteAddress() {
    return remoteAddress;
  }

  /** When connecting began; tenths of a millisecond. */
  long openedAt() {
    return openedAt;
  }

  // ---- memory

  @Override
  protected long bufferedBytes() {
    return decoder.heldBytes();
  }

  /** Whether it waits for a further part of a long response. */
  boolean isReceivingPart() {
    return responseReceiver != null && isReading();
  }

  /** Since when the pending write waits for the backend; valid while {@link #isWriting}. */
  long writeSince() {
    return writingSince();
  }

  /** Ends the attempt, or the long response, as if the connection had broken. */
  void giveUp() {
    if (currentAttempt != null) {
      onBreak();
    } else {
      close();
    }
  }

  // ---- connecting

  /** Connects; the pool is notified of success, or of failure, at the latest after the timeout. */
  void startConnecting(long timeout) {
    timer = loop.schedule(timeout, this::onConnectFailed);
    connect(remoteAddress, this::onConnected, this::onConnectFailed);
  }

  private void onConnected() {
    if (state == State.CONNECTING && !isClosed()) {
      state = State.IN_USE;
      loop.cancel(timer);
      read(decoder.writableBuffer());
      pool.onConnected(this);
    }
  }

  private void onConnectFailed() {
    if (state == State.CONNECTING) {
      close();
    }
  }

  // ---- idle

  /** Whether it carries no attempt, and waits in its pool for one. */
  boolean isIdle() {
    return state == State.IDLE;
  }

  /** When it became idle; tenths of a millisecond. */
  long idleSince() {
    return idleSince;
  }

  /** From when on it may carry an attempt; tenths of a millisecond. */
  long usableFrom() {
    return usableFrom;
  }

  /**
   * Whether it has been idle for longer than the idle timeout, so that its backend may have closed
   * it.
   */
  boolean hasExceededIdleTimeout() {
    return connector.idleTimeout() > 0 && loop.now() - idleSince >= connector.idleTimeout();
  }

  /**
   * Becomes idle, and usable after the quarantine. It is closed after the idle timeout, before its
   * backend closes it.
   *
   * @param quarantine tenths of a millisecond until it may carry an attempt
   */
  void becomeIdle(long quarantine) {
    state = State.IDLE;
    idleSince = loop.now();
    usableFrom = idleSince + quarantine;
    restartIdleTimeout();
  }

  /** Restarts its idle timeout with the value now set in the connector. */
  void restartIdleTimeout() {
    loop.cancel(timer);
    if (connector.idleTimeout() > 0) {
      timer = loop.schedule(idleSince + connector.idleTimeout() - loop.now(), this::close);
    }
  }

  // ---- the request

  /** Whether it may carry the attempt. */
  boolean mayCarry(BackendAttempt attempt) {
    return matcher.mayCarry(attempt);
  }

  /**
   * Whether only some attempts may use it, namely those of requests that may run any number of
   * times, so that these should use it before others.
   */
  boolean isRestricted() {
    return matcher.hasCarriedFailure();
  }

  /** Sends the attempt's request; the attempt ends with the response or with a failure. */
  void send(BackendAttempt attempt) {
    loop.cancel(timer);
    state = State.IN_USE;
    memory.onRequest();
    currentAttempt = attempt;
    attemptBeingWritten = attempt;
    attempt.startOn(this);
    Request request = attempt.buildRequest();
    matcher.onRequest(attempt);
    bodySource = attempt.body();
    isBodyChunked = request.remainingBody().isChunked();
    decoder.expectNoBody(request.method().equals("HEAD"));
    write(Encoder.request(request));
  }

  /** Sends a further part of a long request body. */
  public void sendBodyPart(ByteBuffer bytes, boolean isLast) {
    if (isLast) {
      bodySource = null;
    } else {
      currentAttempt.setTimeout(STALL_TIMEOUT);
    }
    write(isBodyChunked ? Encoder.chunk(bytes, isLast) : bytes);
  }

  @Override
  protected void onWritten(boolean isComplete) {
    boolean isRequestWritten = isComplete && bodySource == null;
    if (isRequestWritten && attemptBeingWritten != null) {
      attemptBeingWritten.onRequestWritten();
      attemptBeingWritten = null;
    }
    if (currentAttempt == null || responseReceiver != null) {
      return;
    }
    if (isBroken || !isComplete) {
      fail(isRequestWritten ? AttemptOutcome.RESET : AttemptOutcome.NO_CONNECT);
    } else if (bodySource != null) {
      bodySource.requestNext(this);
    }
  }

  // ---- the response

  @Override
  protected void onRead(int n) {
    memory.onRead(loop.now());
    boolean isEndOfBody = n == END_OF_STREAM && decoder.endOfStream();
    boolean isBreak = n < 0 && !isEndOfBody;
    if (responseReceiver != null) {
      if (isBreak) {
        close();
      } else {
        deliverNextPart();
      }
    } else if (isBreak) {
      onBreak();
    } else if (currentAttempt == null) {
      logSurplus("received while no request was in flight");
      onBreak();
    } else {
      decodeResponse();
    }
  }

  private void decodeResponse() {
    try {
      for (Response response = nextFinal(); response != null; response = nextFinal()) {
        ResponseMatcher.Origin origin =
            matcher.originOf(response, currentAttempt, !decoder.isStreamingBody());
        if (origin == ResponseMatcher.Origin.CURRENT_REQUEST) {
          onResponse(response);
          return;
        }
        logSurplus("equal to an earlier response, its request: " + origin);
        if (origin == ResponseMatcher.Origin.UNKNOWN) {
          onBreak();
          return;
        }
        endBuffering();
      }
      awaitRestOfResponse();
    } catch (MalformedMessageException e) {
      onBreak();
    }
  }

  /** The next response that is not an interim one, or null if more bytes must be received first. */
  private Response nextFinal() throws MalformedMessageException {
    Response response = decoder.next();
    while (response != null && StatusCode.isInterim(response.status())) {
      response = decoder.next();
    }
    return response;
  }

  private void awaitRestOfResponse() {
    if (decoder.isOpenEnded() && !isBufferingResponse) {
      isBufferingResponse = true;
      timer = loop.schedule(currentAttempt.remainingBufferingTime(), this::onBufferingExpired);
    }
    if (isBufferingTimeOver && decoder.isOpenEnded() && mayStream()) {
      onResponse(decoder.nextWithPartialBody());
    } else {
      read(decoder.writableBuffer());
    }
  }

  private void endBuffering() {
    isBufferingResponse = false;
    isBufferingTimeOver = false;
    loop.cancel(timer);
  }

  private void logSurplus(String cause) {
    EventLog.info("surplus response", pool.id(), cause);
  }

  /**
   * A response of unknown length has not ended within its buffering time: it is handled as a long
   * one, which counts as received with its first bytes, unless it may be a copy of an earlier one.
   */
  private void onBufferingExpired() {
    if (isBufferingResponse && currentAttempt != null && decoder.isOpenEnded()) {
      isBufferingTimeOver = true;
      if (mayStream()) {
        onResponse(decoder.nextWithPartialBody());
      }
    }
  }

  private boolean mayStream() {
    return !matcher.mayBeCopy(decoder.startOfBufferedBody(ResponseHistory.PREFIX_BYTES));
  }

  private void onResponse(Response response) {
    endBuffering();
    NoReuseReason reasonAgainstReuse = reasonAgainstReuse(response);
    isReusable = reasonAgainstReuse == null;
    if (!isReusable) {
      connector.counters().countNotReused(reasonAgainstReuse);
      EventLog.detail("connection not reused", pool.id(), reasonAgainstReuse::name);
    }
    BackendAttempt attempt = currentAttempt;
    currentAttempt = null;
    if (decoder.isStreamingBody() && response.status() == StatusCode.OK) {
      responseReceiver = attempt.beginStreaming(response);
      if (responseReceiver == null) {
        close();
      } else {
        stopBody();
      }
      return;
    }
    releaseOrClose();
    attempt.end(ProtocolMapping.attemptOutcome(response), response);
  }

  private NoReuseReason reasonAgainstReuse(Response response) {
    if (!response.keepAlive() || isWriting() || bodySource != null) {
      return NoReuseReason.BACKEND_CLOSES;
    }
    return matcher.reasonAgainstReuse(response, !decoder.isStreamingBody());
  }

  /** Delivers the next part of a long response; called when the one before has been forwarded. */
  public void deliverNextPart() {
    if (isReading() || isClosed()) {
      return; // a pending read delivers the part when it completes
    }
    try {
      ByteBuffer part = decoder.nextBodyPart();
      boolean isLast = !decoder.isStreamingBody();
      loop.cancel(timer);
      if (!part.hasRemaining() && !isLast) {
        timer = loop.schedule(STALL_TIMEOUT, this::close);
        read(decoder.writableBuffer());
        return;
      }
      ResponseBodyReceiver receiver = responseReceiver;
      if (isLast) {
        responseReceiver = null;
        releaseOrClose();
      }
      receiver.forward(part, isLast);
    } catch (MalformedMessageException e) {
      close();
    }
  }

  /** After a complete response, returns to its pool if it may be used again; else it is closed. */
  private void releaseOrClose() {
    if (isReusable && !decoder.isMidMessage()) {
      read(decoder.writableBuffer());
      pool.release(this);
    } else {
      close();
    }
  }

  // ---- closing

  /**
   * The connection broke, or the backend sent no valid response. If it broke during the write of
   * the request, the outcome waits for the completion of the write, as only that tells whether the
   * request was sent completely: a request sent only in part counts as never run.
   */
  private void onBreak() {
    if (currentAttempt != null && isWriting()) {
      isBroken = true;
      close();
    } else {
      fail(bodySource != null ? AttemptOutcome.NO_CONNECT : AttemptOutcome.RESET);
    }
  }

  private void fail(AttemptOutcome outcome) {
    BackendAttempt attempt = currentAttempt;
    currentAttempt = null;
    close();
    if (attempt != null) {
      attempt.end(outcome, null);
    }
  }

  private void stopBody() {
    if (bodySource != null) {
      bodySource.detach(this);
      bodySource = null;
    }
  }

  @Override
  public void close() {
    if (isClosed()) {
      return;
    }
    super.close();
    decoder.close();
    loop.cancel(timer);
    connector.onClosed(slot);
    pool.onClosed(this);
    if (bodySource != null) { // not set to null: a pending write's outcome depends on it
      bodySource.detach(this);
    }
    if (responseReceiver != null) {
      responseReceiver.onBackendClosed();
    }
    boolean hasNeverConnected = state == State.CONNECTING;
    state = State.CLOSED;
    if (hasNeverConnected) {
      pool.onConnectFailed(this);
    }
  }
}
