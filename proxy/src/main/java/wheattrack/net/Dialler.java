package wheattrack.net;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.Comparator;
import wheattrack.aio.Loop;
import wheattrack.core.Slots;

/**
 * Opens connections to backends, within the budget of descriptors; at its limit an idle one gives
 * way.
 */
final class Dialler {
  /** Of the time after which a backend closes an idle connection: ours are closed by then. */
  private static final double IDLE_PART = 0.8;

  /**
   * Of the time that a dial may take: within it a spoilt second answer shows, some milliseconds
   * late.
   */
  private static final double SETTLE_PART = 0.04;

  final Loop loop;
  private final AsynchronousChannelGroup group;
  private int most;

  /** Bytes of the longest answer. */
  final long mostBody;

  private long timeout;

  /** How long a connection may rest, or 0 for ever. */
  long idle;

  private final Slots<Upstream> table = new Slots<>();

  Dialler(
      Loop loop,
      AsynchronousChannelGroup group,
      int most,
      long mostBody,
      long timeout,
      long idleClose) {
    this.mostBody = mostBody;
    this.loop = loop;
    this.group = group;
    this.most = most;
    times(timeout, idleClose);
  }

  /** From now on; what rests already is closed by the new time too. */
  void times(long timeout, long idleClose) {
    this.timeout = timeout;
    idle = (long) (IDLE_PART * idleClose);
    table.all().stream().filter(Upstream::isResting).forEach(Upstream::restOn);
  }

  /** After an answer, how long until a connection carries another req. */
  long settle() {
    return (long) (SETTLE_PART * timeout);
  }

  /** So many connections may be had from now on; surplus ones at rest are closed. */
  void limit(int most) {
    this.most = most;
    while (table.size() > most && freeOne()) {
      continue;
    }
  }

  private boolean freeOne() {
    var first =
        table.all().stream()
            .filter(Upstream::isResting)
            .min(Comparator.comparingLong(Upstream::restsSince));
    first.ifPresent(Upstream::close);
    return first.isPresent();
  }

  /** Starts making a connection; not where descriptors have run out. */
  Upstream dial(Backend to) throws IOException {
    if (table.size() >= most) {
      freeOne();
    }
    if (table.size() >= most) {
      throw new IOException(most + " connections to backends are open");
    }
    Upstream up = new Upstream(to, AsynchronousSocketChannel.open(group), this);
    up.slot = table.add(up);
    up.dial(timeout);
    return up;
  }

  void closed(Upstream up) {
    table.remove(up.slot);
  }

  void closeAll() {
    table.all().forEach(Upstream::close);
  }
}
