package wheattrack.net.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.function.Consumer;
import wheattrack.aio.EventLoop;
import wheattrack.aio.TcpConnection;
import wheattrack.core.TimerQueue;
import wheattrack.http.Encoder;
import wheattrack.http.Headers;
import wheattrack.http.LineDecoder;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Request;

/**
 * One watch on the endpoint list or on the settings: a request whose response delivers one event
 * per line, until the connection breaks or is silent for too long. Runs on the event loop's thread
 * only. Times are tenths of a millisecond.
 */
public final class WatchConnection extends TcpConnection {
  /**
   * Time without a complete line after which a watch counts as broken: the source sends an event or
   * an empty line at least every 2 s, and half as much again is allowed.
   */
  public static final long SILENCE_TIMEOUT = 30_000;

  /**
   * Timeout for the first line of a watch that follows a watch with valid lines. Discovery answers
   * immediately, and a change that a silent watch misses counts as notified 6 s after the silence
   * began: a second silent watch must not use up the rest of that time.
   */
  static final long FIRST_LINE_TIMEOUT = SILENCE_TIMEOUT / 2;

  /**
   * Operators' rule: after a failed call, the proxy counts as notified of a change at this time
   * after discovery has the change and is reachable.
   */
  static final long NOTIFICATION_LIMIT = 60_000;

  /** Time reserved for connecting again and reading the complete list. */
  private static final long RECONNECT_TIME = NOTIFICATION_LIMIT / 6;

  /**
   * The longest pause between two calls that observes the notification limit. A call that is open
   * when discovery recovers and receives nothing uses up one silence timeout; the rest of the
   * limit, without the time to reconnect, is left for the pause.
   */
  private static final long MAX_PAUSE = NOTIFICATION_LIMIT - SILENCE_TIMEOUT - RECONNECT_TIME;

  /** The policy's longest pause is 3/8 of its poll interval; this is the numerator. */
  private static final int PAUSE_NUMERATOR = 3;

  /** The policy's longest pause is 3/8 of its poll interval; this is the denominator. */
  private static final int PAUSE_DENOMINATOR = 8;

  /**
   * The longest poll interval that the policy may use, so that its pauses are at most {@link
   * #MAX_PAUSE}. With a longer setting, calls were delayed by 22 s.
   */
  public static final long MAX_POLL_INTERVAL = MAX_PAUSE * PAUSE_DENOMINATOR / PAUSE_NUMERATOR;

  /** Notified once, when a watch ends. */
  @FunctionalInterface
  public interface FailureListener {
    /**
     * The watch has ended.
     *
     * @param reason the reason, for the log
     * @param isSilent whether it ended because no complete line was received in time
     * @param deliveredValidLines whether it had delivered complete lines, all of them valid
     */
    void watchFailed(String reason, boolean isSilent, boolean deliveredValidLines);
  }

  /**
   * What is watched.
   *
   * @param address where the source listens
   * @param path the resource
   * @param afterRevision requests the events after this revision; negative: a complete snapshot
   * @param scope the requested scope; empty: none
   */
  public record Target(InetSocketAddress address, String path, long afterRevision, String scope) {
    /** The request target as sent on the wire. */
    @Override
    public String toString() {
      return path
          + "?watch=1"
          + (afterRevision < 0 ? "" : "&after=" + afterRevision)
          + (scope.isEmpty() ? "" : "&scope=" + scope);
    }
  }

  private final LineDecoder decoder = new LineDecoder();
  private final Consumer<String> lineListener;
  private final FailureListener failureListener;
  private final long firstLineTimeout;
  private TimerQueue.Timer silenceTimer;
  private boolean hasReceivedBytes;
  private boolean deliveredValidLines;
  private boolean isUnreadable;

  private WatchConnection(
      EventLoop loop,
      AsynchronousSocketChannel channel,
      long firstLineTimeout,
      Consumer<String> lineListener,
      FailureListener failureListener) {
    super(loop, channel);
    this.firstLineTimeout = firstLineTimeout;
    this.lineListener = lineListener;
    this.failureListener = failureListener;
  }

  /**
   * Opens a watch.
   *
   * @param firstLineTimeout timeout for the first complete line; it starts with this call and
   *     starts again with the first byte received
   * @param lineListener receives each line that is not empty
   * @throws IOException if no socket can be opened; the failure listener is not notified then
   */
  public static WatchConnection open(
      EventLoop loop,
      AsynchronousChannelGroup group,
      Target target,
      long firstLineTimeout,
      Consumer<String> lineListener,
      FailureListener failureListener)
      throws IOException {
    WatchConnection watch =
        new WatchConnection(
            loop,
            AsynchronousSocketChannel.open(group),
            firstLineTimeout,
            lineListener,
            failureListener);
    watch.restartSilenceTimer(firstLineTimeout);
    watch.connect(
        target.address, () -> watch.send(target), () -> watch.fail("no connection", false));
    return watch;
  }

  /** The first line of an exception's message, for the log. */
  public static String firstLineOfMessage(Exception error) {
    return String.valueOf(error.getMessage()).split("\n")[0];
  }

  private void send(Target target) {
    if (isClosed()) {
      return;
    }
    InetSocketAddress address = target.address;
    Headers headers =
        new Headers().with("Host", address.getAddress().getHostAddress() + ":" + address.getPort());
    write(Encoder.request(new Request("GET", target.toString(), headers, true, new byte[0])));
    read(decoder.writableBuffer());
  }

  private void restartSilenceTimer(long timeout) {
    loop.cancel(silenceTimer);
    silenceTimer =
        loop.schedule(
            timeout,
            () -> fail(decoder.isMidLine() ? "line not completed in time" : "silent", true));
  }

  /** Whether it has delivered complete lines, all of them valid. */
  boolean deliveredValidLines() {
    return deliveredValidLines;
  }

  /** Whether it ended because it delivered data that could not be parsed. */
  boolean isUnreadable() {
    return isUnreadable;
  }

  @Override
  protected void onRead(int n) {
    if (n < 0) {
      fail("ended", false);
      return;
    }
    if (!hasReceivedBytes) {
      hasReceivedBytes = true;
      restartSilenceTimer(firstLineTimeout); // receiving a long list may take a while
    }
    try {
      readLines();
    } catch (MalformedMessageException e) {
      if (!decoder.isOpen()) { // a response with an error status is not an invalid event
        deliveredValidLines = false;
        fail(e.getMessage(), false);
        return;
      }
      failUnreadable(e.getMessage());
    }
  }

  private void readLines() throws MalformedMessageException {
    for (String line = decoder.next(); line != null && !isClosed(); line = decoder.next()) {
      deliveredValidLines = true;
      // Only a complete line restarts the timer: a partial line could be received slowly without
      // end.
      restartSilenceTimer(SILENCE_TIMEOUT);
      if (!line.isEmpty()) {
        lineListener.accept(line);
      }
    }
    if (decoder.isEnded()) {
      fail("ended", false);
    }
    read(decoder.writableBuffer());
  }

  @Override
  protected void onWritten(boolean isComplete) {
    if (!isComplete) {
      fail("broken", false);
    }
  }

  /**
   * Ends the watch because it delivered data that cannot be parsed. It counts as a watch without
   * valid lines, so that the pause before the next call to the source grows.
   */
  void failUnreadable(String reason) {
    isUnreadable = true;
    deliveredValidLines = false;
    fail(reason, false);
  }

  private void fail(String reason, boolean isSilent) {
    if (!isClosed()) {
      close();
      failureListener.watchFailed(reason, isSilent, deliveredValidLines);
    }
  }

  @Override
  public void close() {
    super.close();
    loop.cancel(silenceTimer);
  }
}
