package wheattrack.net.backend;

import wheattrack.aio.EventLoop;
import wheattrack.api.AttemptOutcome;
import wheattrack.core.TimerQueue;
import wheattrack.http.Request;
import wheattrack.http.Response;

/**
 * One exchange with a backend, either an attempt of a request or a probe, from the time it is sent
 * until its one outcome. It waits in its backend's pool until a connection is assigned to it. Times
 * are tenths of a millisecond. Runs on the event loop's thread only.
 */
public abstract class BackendAttempt {
  /**
   * A buffering time without a practical limit, small enough that it can be added to a time without
   * overflow.
   */
  private static final long UNLIMITED_BUFFERING_TIME = Long.MAX_VALUE / 4;

  private final BackendConnectionPool backend;
  private final long sentAt;
  private long startedAt;
  private long latestStart = Long.MAX_VALUE;
  private TimerQueue.Timer timer;
  private BackendConnection connection;
  private boolean hasEnded;
  private AttemptOutcome outcome;

  /** Creates an attempt that is sent now; it has no timeout and no connection yet. */
  protected BackendAttempt(BackendConnectionPool backend) {
    this.backend = backend;
    sentAt = backend.loop.now();
  }

  /** The backend it is sent to. */
  public final BackendConnectionPool backend() {
    return backend;
  }

  /** The event loop that runs it. */
  protected final EventLoop loop() {
    return backend.loop;
  }

  /** When it was sent; after that it may have waited for a connection. */
  public final long sentAt() {
    return sentAt;
  }

  /** When a connection began to carry it, that is, when the write of its first byte began. */
  protected final long startedAt() {
    return startedAt;
  }

  /** The connection that carries or carried it; null: not started. */
  protected final BackendConnection connection() {
    return connection;
  }

  /** The time from which on it must not be started. */
  final long latestStart() {
    return latestStart;
  }

  /** Sets the time from which on it must not be started; by default there is no limit. */
  public final void setLatestStart(long time) {
    latestStart = time;
  }

  /** Restarts its timeout: it is abandoned after this time from now, unless it ends before. */
  public final void setTimeout(long time) {
    if (!hasEnded) {
      loop().cancel(timer);
      timer = loop().schedule(time, () -> abandon(AttemptOutcome.TIMEOUT));
    }
  }

  /** A connection carries it from now on. */
  final void startOn(BackendConnection carrier) {
    connection = carrier;
    startedAt = loop().now();
  }

  /** Whether any of its bytes may have been sent. */
  public final boolean isStarted() {
    return connection != null;
  }

  /** Whether the backend may have run it, or may still run it. */
  public final boolean mayHaveRun() {
    return isStarted() && (outcome == null || !outcome.neverRan());
  }

  /** Ends it with this outcome, or, if it has not started, as discarded. */
  public final void abandon(AttemptOutcome outcomeIfStarted) {
    end(isStarted() ? outcomeIfStarted : AttemptOutcome.DISCARDED, null);
  }

  /**
   * Ends it; further calls do nothing. A connection that still carries it is closed.
   *
   * @param response the complete response; null: none was received
   */
  public final void end(AttemptOutcome finalOutcome, Response response) {
    if (hasEnded) {
      return;
    }
    hasEnded = true;
    outcome = finalOutcome;
    loop().cancel(timer);
    backend.attemptEnded();
    if (connection != null && connection.currentAttempt() == this) {
      connection.close();
    } else {
      backend.removeWaiting(this);
    }
    onEnd(finalOutcome, response);
  }

  /**
   * Its response is too long to be buffered: its outcome is decided now, while its connection
   * continues to read the rest of the response.
   *
   * @param head the head and the first bytes of the response
   * @return receives the rest of the response; null: the connection must be closed instead
   */
  final ResponseBodyReceiver beginStreaming(Response head) {
    if (hasEnded) {
      return null;
    }
    hasEnded = true;
    loop().cancel(timer);
    ResponseBodyReceiver receiver = onStreamingResponse(head);
    if (receiver == null) {
      backend.attemptEnded();
    }
    return receiver;
  }

  /** The rest of the long response has been forwarded, completely or not. */
  protected final void streamingEnded() {
    backend.attemptEnded();
  }

  /** Builds the message to write; called once, when a connection begins to carry it. */
  protected abstract Request buildRequest();

  /**
   * How much longer a response of unknown length may be buffered. While it is buffered, another
   * attempt can be sent if the connection breaks.
   */
  protected long remainingBufferingTime() {
    return UNLIMITED_BUFFERING_TIME;
  }

  /** Provides the part of the request's body that is not in the message; null: there is none. */
  protected RequestBodySource body() {
    return null;
  }

  /**
   * See {@link #beginStreaming}. By default long responses are not accepted: the attempt ends as if
   * its connection had broken.
   */
  protected ResponseBodyReceiver onStreamingResponse(Response head) {
    onEnd(AttemptOutcome.RESET, null);
    return null;
  }

  /** Whether it is a probe of its backend rather than an attempt of a client's request. */
  protected boolean isProbe() {
    return false;
  }

  /** Whether its request must not run twice. */
  protected boolean isNonIdempotent() {
    return false;
  }

  /** Whether its request may run any number of times. */
  protected boolean isIdempotent() {
    return false;
  }

  /** Whether it must not use a connection that has carried a response. */
  protected boolean needsNewConnection() {
    return false;
  }

  /** Whether its response, if it arrives now, is the one that its client receives. */
  protected boolean isResponseAwaited() {
    return false;
  }

  /** Whether the responses to requests like this one differ; null for a probe. */
  protected ResponseVariety responseVariety() {
    return null;
  }

  /** The last byte of the request has been written. */
  protected void onRequestWritten() {
    // only attempts of requests are counted, not probes
  }

  /**
   * The attempt has ended; called once.
   *
   * @param response the complete response; null: none was received
   */
  protected abstract void onEnd(AttemptOutcome finalOutcome, Response response);
}
