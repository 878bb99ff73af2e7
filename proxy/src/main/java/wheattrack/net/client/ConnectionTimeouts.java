package wheattrack.net.client;

import wheattrack.aio.EventLoop;
import wheattrack.core.TimerQueue;

/**
 * The one timer of a client's connection. At any time it bounds one of these: receiving the head of
 * a request, receiving its body, the wait for the next request, the write of a response, or the
 * wait for the client to close. Starting one timeout cancels the one before. Times are tenths of a
 * millisecond. Runs on the event loop's thread only.
 *
 * <p>Without these timeouts, clients that are silent, send single bytes or stop after half a
 * request would hold a connection for 10 s or forever.
 */
final class ConnectionTimeouts {
  /** The longest time for a complete head, from connecting or from its first byte. */
  private static final long HEAD_TIMEOUT = 24_000;

  /** The time for a head is divided by this while the connection limit is reached. */
  private static final long FULL_DIVISOR = 10;

  /**
   * The longest time for a complete head while the connection limit is reached and others wait.
   * With 0.8 s, and four times as many clients with half a head as the connection limit, other
   * clients received their responses after their timeout.
   */
  static final long HEAD_TIMEOUT_WHEN_FULL = HEAD_TIMEOUT / FULL_DIVISOR;

  /** The longest time between two requests. */
  private static final long IDLE_TIMEOUT = 20_500;

  /** The longest time that the client may take to accept one part of a response. */
  private static final long STALL_TIMEOUT = 100_000;

  /** The longest time that the client may take to close after its last response. */
  private static final long LINGER_TIMEOUT = 10_000;

  private final EventLoop loop;
  private final Runnable onRequestTimeout;
  private final Runnable onConnectionTimeout;
  private TimerQueue.Timer timer;

  /** Incremented by each start and cancellation, so that an outdated expiry can be recognized. */
  private long generation;

  private boolean isIdleTimeout;

  /**
   * Creates the timer; it does not run yet.
   *
   * @param onRequestTimeout run when a head or a body has not been received in time
   * @param onConnectionTimeout run when the client was idle or stalled for too long, or did not
   *     close in time
   */
  ConnectionTimeouts(EventLoop loop, Runnable onRequestTimeout, Runnable onConnectionTimeout) {
    this.loop = loop;
    this.onRequestTimeout = onRequestTimeout;
    this.onConnectionTimeout = onConnectionTimeout;
  }

  /** Bounds the time until the head of a request is complete. */
  void awaitHead() {
    startDeferred(HEAD_TIMEOUT, onRequestTimeout);
  }

  /** Bounds the time until further bytes of the request's body are received. */
  void awaitBody(long time) {
    startDeferred(time, onRequestTimeout);
  }

  /** Bounds the time until the first byte of the next request. */
  void awaitNextRequest() {
    startDeferred(IDLE_TIMEOUT, onConnectionTimeout);
    isIdleTimeout = true;
  }

  /** Bounds the time for writing a response or a part of one. */
  void awaitWrite() {
    cancel();
    timer = loop.schedule(STALL_TIMEOUT, onConnectionTimeout);
  }

  /** Bounds the time until the client closes. */
  void awaitClose() {
    cancel();
    timer = loop.schedule(LINGER_TIMEOUT, onConnectionTimeout);
  }

  /** Restarts the timeout for the client to close, as it still sends bytes, which are discarded. */
  void extendClose() {
    startDeferred(LINGER_TIMEOUT, onConnectionTimeout);
  }

  /** Whether no head is being timed, so that the first byte of one starts its timeout. */
  boolean isHeadUntimed() {
    return timer == null || isIdleTimeout;
  }

  /** Cancels the timeout that runs, if any. */
  void cancel() {
    loop.cancel(timer);
    timer = null;
    isIdleTimeout = false;
    generation++;
  }

  /**
   * Starts a timeout for input. Its expiry takes effect in a later step, unless input that is
   * handled before that step has cancelled the timeout.
   */
  private void startDeferred(long time, Runnable onExpiry) {
    cancel();
    long startedGeneration = generation;
    timer =
        loop.schedule(
            time,
            () ->
                loop.execute(
                    () -> {
                      if (generation == startedGeneration) {
                        onExpiry.run();
                      }
                    }));
  }
}
