package wheattrack.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Discovery for thousands of watchers: a list of any length that changes, one thread, an answer in
 * chunks to each watch. It keeps a bounded course of changes; who asks for what lies before it gets
 * the whole list.
 */
final class SourceServer implements AutoCloseable {
  /** REFUSING: nobody listens. SILENT: who connects hears nothing, then and later. */
  enum Mode {
    UP,
    REFUSING,
    SILENT
  }

  private static final int COURSE = 20_000, BACKLOG = 8192, LIFE_NANOS = 2_000_000_000;
  private static final Pattern AFTER = Pattern.compile("after=(\\d+)");
  private static final byte[] HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /** One watch. */
  private static final class Watcher {
    final SocketChannel channel;
    final StringBuilder head = new StringBuilder();
    final Deque<ByteBuffer> pending = new ArrayDeque<>();
    boolean asked, mute;

    Watcher(SocketChannel channel) {
      this.channel = channel;
    }
  }

  private final Selector selector;
  private final InetSocketAddress at;
  private final boolean tellsWhole;
  private final ConcurrentLinkedQueue<Runnable> orders = new ConcurrentLinkedQueue<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private final VersionedSource told;
  private final Deque<String> course = new ArrayDeque<>();
  private final Thread thread;
  private ServerSocketChannel door;
  private Mode mode = Mode.REFUSING;
  private long rev = 1;
  private String whole;
  private volatile boolean over;
  private volatile long sent, came, calls;

  /** tellsWhole: each change is told by all there is (a twin that a test has to notice). */
  SourceServer(VersionedSource told, boolean tellsWhole) throws IOException {
    this.told = told;
    this.tellsWhole = tellsWhole;
    selector = Selector.open();
    try (ServerSocketChannel free = ServerSocketChannel.open()) {
      free.bind(new InetSocketAddress("127.0.7.1", 0));
      at = (InetSocketAddress) free.getLocalAddress();
    }
    thread = new Thread(this::run, "source");
    thread.setDaemon(true);
    thread.start();
    mode(Mode.UP);
  }

  InetSocketAddress at() {
    return at;
  }

  /** Bytes told, and heard. */
  long sent() {
    return sent;
  }

  long came() {
    return came;
  }

  long calls() {
    return calls;
  }

  /** The latest revision, once all changes asked for until now are made. */
  long rev() {
    long[] now = new long[1];
    synchronously(() -> now[0] = rev);
    return now[0];
  }

  private void order(Runnable what) {
    orders.add(what);
    selector.wakeup();
  }

  /**
   * From now on; watches that are open go on in REFUSING's and SILENT's time but hear nothing any
   * more.
   */
  void mode(Mode next) {
    synchronously(
        () -> {
          mode = next;
          try {
            if (next == Mode.REFUSING && door != null) {
              door.close();
              door = null;
            } else if (next != Mode.REFUSING && door == null) {
              door = ServerSocketChannel.open();
              door.setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true);
              door.bind(at, BACKLOG).configureBlocking(false);
              door.register(selector, SelectionKey.OP_ACCEPT);
            }
            if (next != Mode.UP) {
              for (Watcher w : List.copyOf(watchers)) {
                drop(w);
              }
            }
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private void synchronously(Runnable what) {
    CountDownLatch done = new CountDownLatch(1);
    order(
        () -> {
          what.run();
          done.countDown();
        });
    try {
      done.await(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Some entries change their state; what then counts as this revision. */
  void change(int first, int count) {
    order(
        () -> {
          String line = told.change(++rev, first, count);
          whole = null;
          course.add(line);
          if (course.size() > COURSE) {
            course.remove();
          }
          if (mode == Mode.UP) {
            byte[] chunk = chunk(tellsWhole ? whole() : line);
            watchers.stream().filter(w -> w.asked && !w.mute).toList().forEach(w -> tell(w, chunk));
          }
        });
  }

  private String whole() {
    if (whole == null) {
      whole = told.whole(rev);
    }
    return whole;
  }

  private static byte[] chunk(String text) {
    byte[] body = text.getBytes(StandardCharsets.US_ASCII);
    byte[] size = (Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    byte[] out = Arrays.copyOf(size, size.length + body.length + 2);
    System.arraycopy(body, 0, out, size.length, body.length);
    out[out.length - 2] = '\r';
    out[out.length - 1] = '\n';
    return out;
  }

  private void run() {
    long life = System.nanoTime();
    ByteBuffer room = ByteBuffer.allocateDirect(1 << 16);
    while (!over) {
      try {
        selector.select(50);
        for (Runnable order = orders.poll(); order != null; order = orders.poll()) {
          order.run();
        }
        for (SelectionKey key : selector.selectedKeys()) {
          if (key.isValid() && key.isAcceptable()) {
            accept();
          } else if (key.isValid()) {
            Watcher w = (Watcher) key.attachment();
            if (key.isReadable()) {
              hear(w, room);
            }
            if (key.isValid() && key.isWritable()) {
              writeOn(w);
            }
          }
        }
        selector.selectedKeys().clear();
        if (System.nanoTime() - life > LIFE_NANOS) {
          life = System.nanoTime();
          byte[] empty = chunk("\n");
          watchers.stream().filter(w -> w.asked && !w.mute).toList().forEach(w -> tell(w, empty));
        }
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private void accept() throws IOException {
    for (SocketChannel one = door == null ? null : door.accept();
        one != null;
        one = door.accept()) {
      one.configureBlocking(false);
      Watcher w = new Watcher(one);
      watchers.add(w);
      calls++;
      one.register(selector, SelectionKey.OP_READ, w);
    }
  }

  private void hear(Watcher w, ByteBuffer room) {
    try {
      room.clear();
      int n = w.channel.read(room);
      if (n < 0) {
        drop(w);
        return;
      }
      came += n;
      if (!w.asked) {
        w.head.append(StandardCharsets.US_ASCII.decode(room.flip()));
        if (w.head.indexOf("\r\n\r\n") >= 0) {
          w.asked = true;
          w.mute = mode != Mode.UP;
          answer(w);
        }
      }
    } catch (IOException e) {
      drop(w);
    }
  }

  private void answer(Watcher w) {
    if (w.mute) {
      return;
    }
    Matcher after = AFTER.matcher(w.head);
    long known = after.find() ? Long.parseLong(after.group(1)) : -1;
    tell(w, HEAD);
    if (known < 0 || known < rev - course.size() || known > rev) {
      tell(w, chunk(whole()));
    } else if (known < rev) {
      course.stream().skip(course.size() - (rev - known)).forEach(line -> tell(w, chunk(line)));
    }
  }

  private void tell(Watcher w, byte[] bytes) {
    boolean first = w.pending.isEmpty();
    w.pending.add(ByteBuffer.wrap(bytes));
    if (first) {
      writeOn(w);
    }
  }

  private void writeOn(Watcher w) {
    try {
      while (!w.pending.isEmpty()) {
        ByteBuffer next = w.pending.peek();
        sent += w.channel.write(next);
        if (next.hasRemaining()) {
          break;
        }
        w.pending.remove();
      }
      w.channel
          .keyFor(selector)
          .interestOps(SelectionKey.OP_READ | (w.pending.isEmpty() ? 0 : SelectionKey.OP_WRITE));
    } catch (IOException e) {
      drop(w);
    }
  }

  private void drop(Watcher w) {
    watchers.remove(w);
    try {
      w.channel.close();
    } catch (IOException e) {
      // it is gone either way
    }
  }

  @Override
  public void close() throws IOException {
    over = true;
    selector.wakeup();
    try {
      thread.join(2000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (Watcher w : List.copyOf(watchers)) {
      drop(w);
    }
    if (door != null) {
      door.close();
    }
    selector.close();
  }
}
