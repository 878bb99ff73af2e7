package wheattrack.net;

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

/** One watch on the list, or on settings, until it breaks or falls silent. */
final class WatchConnection extends TcpConnection {
  /**
   * An object or an empty line comes whole every 2 s at least; half as much again without is a
   * break.
   */
  static final long SILENCE = 30_000;

  /**
   * For the first word after a break. Discovery answers at once, and what a silent watch misses
   * counts as told 6 s after it fell silent: a second silent one must not use up the rest of that.
   */
  static final long FIRST = SILENCE / 2;

  /**
   * After a failed call a change counts as told so long after discovery had it and could be reached
   * (STANDING.md). Of that a call which is open at the return and hears nothing uses up a silence,
   * and the good one's connection and whole list a sixth; the rest is the longest pause between two
   * calls.
   */
  private static final long TOLD = 60_000, WORST_PAUSE = TOLD - SILENCE - TOLD / 6;

  /**
   * The module pauses for three eighths of this at most; a longer setting held calls back for 22 s.
   */
  static final long MAX_POLL_INTERVAL = WORST_PAUSE * 8 / 3;

  /**
   * Hears why it is over: by its silence or not, and whether it had said anything that was whole.
   */
  interface Failed {
    void of(String why, boolean silent, boolean spoke);
  }

  private final LineDecoder in = new LineDecoder();
  private final Consumer<String> line;
  private final Failed failed;
  private TimerQueue.Timer silence;
  private final long patience;
  private boolean began, spoke, unread;

  private WatchConnection(
      EventLoop loop,
      AsynchronousSocketChannel channel,
      long patience,
      Consumer<String> line,
      Failed failed) {
    super(loop, channel);
    this.patience = patience;
    this.line = line;
    this.failed = failed;
  }

  /**
   * What is asked for: a path, what comes after a version or with a negative one all, a scope or
   * "".
   */
  record Target(InetSocketAddress at, String path, long after, String scope) {
    @Override
    public String toString() {
      return path
          + "?watch=1"
          + (after < 0 ? "" : "&after=" + after)
          + (scope.isEmpty() ? "" : "&scope=" + scope);
    }
  }

  /** Opens a watch. */
  static WatchConnection open(
      EventLoop loop,
      AsynchronousChannelGroup group,
      Target target,
      long patience,
      Consumer<String> line,
      Failed failed)
      throws IOException {
    WatchConnection watch =
        new WatchConnection(loop, AsynchronousSocketChannel.open(group), patience, line, failed);
    watch.listen(patience);
    watch.connect(target.at, () -> watch.ask(target), () -> watch.fail("no connection", false));
    return watch;
  }

  private void ask(Target asked) {
    if (isClosed()) {
      return;
    }
    InetSocketAddress to = asked.at;
    String target = asked.toString();
    Headers headers =
        new Headers().with("Host", to.getAddress().getHostAddress() + ":" + to.getPort());
    write(Encoder.request(new Request("GET", target, headers, true, new byte[0])));
    read(in.writableBuffer());
  }

  private void listen(long time) {
    loop.cancel(silence);
    silence =
        loop.schedule(time, () -> fail(in.isMidLine() ? "news that does not end" : "silent", true));
  }

  /** Whether it has said anything that was whole. */
  boolean hasSpoken() {
    return spoke;
  }

  /** Whether it has brought what could not be read. */
  boolean isUnread() {
    return unread;
  }

  @Override
  protected void onRead(int n) {
    if (n < 0) {
      fail("ended", false);
      return;
    }
    if (!began) {
      began = true;
      listen(patience); // a long list may take its time to come whole
    }
    try {
      for (String text = in.next(); text != null && !isClosed(); text = in.next()) {
        spoke = true;
        listen(SILENCE); // bytes alone are no word: half a line may drip for ever
        if (!text.isEmpty()) {
          line.accept(text);
        }
      }
      if (in.isEnded()) {
        fail("ended", false);
      }
      read(in.writableBuffer());
    } catch (MalformedMessageException e) {
      if (!in.isOpen()) { // turned away: that is no news
        spoke = false;
        fail(e.getMessage(), false);
        return;
      }
      unreadable(e.getMessage());
    }
  }

  @Override
  protected void onWritten(boolean whole) {
    if (!whole) {
      fail("broken", false);
    }
  }

  /**
   * What it brings can't be read: as if it had said nothing, so that it is not asked again and
   * again.
   */
  void unreadable(String why) {
    unread = true;
    spoke = false;
    fail(why, false);
  }

  private void fail(String why, boolean silent) {
    if (!isClosed()) {
      close();
      failed.of(why, silent, spoke);
    }
  }

  @Override
  public void close() {
    super.close();
    loop.cancel(silence);
  }
}
