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
 * One watch on the endpoint list or on the settings: a request whose answer delivers one event a
 * line, until the connection breaks or stays silent for too long. Runs on the event loop's thread
 * only. Times are tenths of a millisecond.
 */
public final class WatchConnection extends TcpConnection {
  /**
   * Time without a complete line after which a watch counts as broken: the source sends an event or
   * an empty line at least every 2 s, and half as much again is allowed.
   */
  public static final long SILENCE_TIMEOUT = 30_000;

  /**
   * The same for the first line after a silent watch. Discovery answers at once, and an event that
   * a silent watch misses counts as notified 6 s after the silence began: a second silent watch
   * must not use up the rest of that time.
   */
  static final long FIRST_LINE_TIMEOUT = SILENCE_TIMEOUT / 2;

  /**
   * A rule of the operators: after a failed call, a change counts as notified this long after
   * discovery had it and could be reached.
   */
  private static final long NOTIFICATION_LIMIT = 60_000;

  /**
   * The longest pause between two calls that keeps to that limit. A call that is open when
   * discovery recovers and receives nothing uses up one silence timeout; connecting again and
   * reading the complete list takes a sixth of the limit; the rest is left for the pause.
   */
  private static final long MAX_PAUSE =
      NOTIFICATION_LIMIT - SILENCE_TIMEOUT - NOTIFICATION_LIMIT / 6;

  /**
   * The greatest poll interval that the policy may use. It pauses for three eighths of the interval
   * at most; with a longer setting it held calls back for 22 s.
   */
  public static final long MAX_POLL_INTERVAL = MAX_PAUSE * 8 / 3;

  /** Notified once, when a watch ends. */
  @FunctionalInterface
  public interface FailureListener {
    /**
     * The watch has ended.
     *
     * @param reason for the log
     * @param isSilent whether it ended because no complete line was received in time
     * @param wasUseful whether it had delivered a complete line that could be parsed
     */
    void watchFailed(String reason, boolean isSilent, boolean wasUseful);
  }

  /**
   * What is watched.
   *
   * @param address where the source listens
   * @param path the resource
   * @param afterRevision the revision whose successors are asked for; negative: a complete snapshot
   * @param scope the scope asked for; empty: none
   */
  public record Target(InetSocketAddress address, String path, long afterRevision, String scope) {
    /** The request target, as it stands on the wire. */
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
  private boolean wasUseful;
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
   * @param firstLineTimeout time allowed until the first complete line, from the call and again
   *     from the first byte
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

  /** The first line of an error's message, for the log. */
  public static String firstLine(Exception error) {
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
            timeout, () -> fail(decoder.isMidLine() ? "news that does not end" : "silent", true));
  }

  /** Whether it has delivered a complete line, and none that could not be parsed. */
  boolean wasUseful() {
    return wasUseful;
  }

  /** Whether it has delivered something that could not be parsed. */
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
      restartSilenceTimer(firstLineTimeout); // a long list may take a while to be complete
    }
    try {
      readLines();
    } catch (MalformedMessageException e) {
      if (!decoder.isOpen()) { // rejected by its status: that is no event
        wasUseful = false;
        fail(e.getMessage(), false);
        return;
      }
      failUnreadable(e.getMessage());
    }
  }

  private void readLines() throws MalformedMessageException {
    for (String line = decoder.next(); line != null && !isClosed(); line = decoder.next()) {
      wasUseful = true;
      restartSilenceTimer(SILENCE_TIMEOUT); // bytes alone don't count: half a line may drip forever
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
   * Ends the watch because what it delivers cannot be parsed. It counts as one that has delivered
   * nothing, so that the pause before the next call to the source grows.
   */
  void failUnreadable(String reason) {
    isUnreadable = true;
    wasUseful = false;
    fail(reason, false);
  }

  private void fail(String reason, boolean isSilent) {
    if (!isClosed()) {
      close();
      failureListener.watchFailed(reason, isSilent, wasUseful);
    }
  }

  @Override
  public void close() {
    super.close();
    loop.cancel(silenceTimer);
  }
}
