package wheattrack.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
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
 * A discovery or settings server for thousands of watches: one thread, an answer in chunks to each
 * watch. It keeps a bounded history of changes; a client that asks for an earlier revision gets a
 * complete snapshot. Its methods may be called by any thread.
 */
final class SourceServer implements AutoCloseable {
  /** How the server meets its clients. */
  enum Mode {
    /** Serves. */
    UP,
    /** Does not listen. */
    REFUSING,
    /** Accepts connections and never answers them, then or later. */
    SILENT
  }

  private static final int MAX_HISTORY = 20_000;
  private static final int BACKLOG = 8192;
  private static final int READ_BUFFER_BYTES = 1 << 16;
  private static final long SELECT_TIMEOUT_MILLIS = 50;

  /** An empty line goes to each watch this often, as a heartbeat. */
  private static final long HEARTBEAT_NANOS = 2_000_000_000;

  private static final long EXECUTE_TIMEOUT_SECONDS = 5;
  private static final long END_TIMEOUT_MILLIS = 2000;
  private static final Pattern AFTER = Pattern.compile("after=(\\d+)");
  private static final byte[] HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /** One connection of a client. */
  private static final class Watch {
    private final SocketChannel channel;
    private final StringBuilder head = new StringBuilder();
    private final Deque<ByteBuffer> pending = new ArrayDeque<>();
    private boolean isRequested;
    private boolean isMuted;

    private Watch(SocketChannel channel) {
      this.channel = channel;
    }

    private boolean isNotified() {
      return isRequested && !isMuted;
    }
  }

  private final Selector selector;
  private final InetSocketAddress address;
  private final boolean sendsSnapshots;
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final List<Watch> watches = new ArrayList<>();
  private final VersionedSource source;
  private final Deque<String> history = new ArrayDeque<>();
  private final Thread thread;
  private ServerSocketChannel listener;
  private Mode mode = Mode.REFUSING;
  private long revision = 1;
  private String snapshot;
  private volatile boolean isClosed;
  private volatile long bytesSent;
  private volatile long bytesReceived;
  private volatile long calls;

  /**
   * Starts to serve at a free port.
   *
   * @param sendsSnapshots whether each change is sent as a complete snapshot: a faulty server that
   *     a test has to notice
   */
  SourceServer(VersionedSource source, boolean sendsSnapshots) throws IOException {
    this.source = source;
    this.sendsSnapshots = sendsSnapshots;
    selector = Selector.open();
    try (ServerSocketChannel free = ServerSocketChannel.open()) {
      free.bind(new InetSocketAddress("127.0.7.1", 0));
      address = (InetSocketAddress) free.getLocalAddress();
    }
    thread = new Thread(this::run, "source");
    thread.setDaemon(true);
    thread.start();
    setMode(Mode.UP);
  }

  InetSocketAddress address() {
    return address;
  }

  long bytesSent() {
    return bytesSent;
  }

  long bytesReceived() {
    return bytesReceived;
  }

  /** Connections accepted so far. */
  long calls() {
    return calls;
  }

  /** The latest revision, once all changes asked for until now are made. */
  long revision() {
    long[] latest = new long[1];
    executeAndWait(() -> latest[0] = revision);
    return latest[0];
  }

  /** Changes the mode and returns once that is done; any mode but UP ends the watches there are. */
  void setMode(Mode next) {
    executeAndWait(
        () -> {
          mode = next;
          try {
            if (next == Mode.REFUSING) {
              stopListening();
            } else if (listener == null) {
              listen();
            }
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
          if (next != Mode.UP) {
            List.copyOf(watches).forEach(this::drop);
          }
        });
  }

  private void listen() throws IOException {
    listener = ServerSocketChannel.open();
    listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    listener.bind(address, BACKLOG).configureBlocking(false);
    listener.register(selector, SelectionKey.OP_ACCEPT);
  }

  private void stopListening() throws IOException {
    if (listener != null) {
      listener.close();
      listener = null;
    }
  }

  /** Changes so many entries from this one on, as one revision; does not wait for it. */
  void change(int first, int count) {
    execute(
        () -> {
          revision++;
          String line = source.change(revision, first, count);
          snapshot = null;
          history.add(line);
          if (history.size() > MAX_HISTORY) {
            history.remove();
          }
          if (mode == Mode.UP) {
            sendToAll(chunk(sendsSnapshots ? snapshot() : line));
          }
        });
  }

  private void execute(Runnable task) {
    tasks.add(task);
    selector.wakeup();
  }

  private void executeAndWait(Runnable task) {
    CountDownLatch done = new CountDownLatch(1);
    execute(
        () -> {
          task.run();
          done.countDown();
        });
    try {
      done.await(EXECUTE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // What follows runs on the server's thread only.

  private String snapshot() {
    if (snapshot == null) {
      snapshot = source.snapshot(revision);
    }
    return snapshot;
  }

  private static byte[] chunk(String text) {
    byte[] body = text.getBytes(StandardCharsets.US_ASCII);
    byte[] size = (Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    byte[] chunk = Arrays.copyOf(size, size.length + body.length + 2);
    System.arraycopy(body, 0, chunk, size.length, body.length);
    chunk[chunk.length - 2] = '\r';
    chunk[chunk.length - 1] = '\n';
    return chunk;
  }

  private void run() {
    long heartbeatAt = System.nanoTime();
    ByteBuffer buffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    while (!isClosed) {
      try {
        selector.select(SELECT_TIMEOUT_MILLIS);
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
          task.run();
        }
        for (SelectionKey key : selector.selectedKeys()) {
          handle(key, buffer);
        }
        selector.selectedKeys().clear();
        if (System.nanoTime() - heartbeatAt > HEARTBEAT_NANOS) {
          heartbeatAt = System.nanoTime();
          sendToAll(chunk("\n"));
        }
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private void handle(SelectionKey key, ByteBuffer buffer) throws IOException {
    if (!key.isValid()) {
      return;
    }
    if (key.isAcceptable()) {
      accept();
      return;
    }
    Watch watch = (Watch) key.attachment();
    if (key.isReadable()) {
      read(watch, buffer);
    }
    if (key.isValid() && key.isWritable()) {
      flush(watch);
    }
  }

  private void accept() throws IOException {
    if (listener == null) {
      return;
    }
    for (SocketChannel channel = listener.accept(); channel != null; channel = listener.accept()) {
      channel.configureBlocking(false);
      Watch watch = new Watch(channel);
      watches.add(watch);
      calls++;
      channel.register(selector, SelectionKey.OP_READ, watch);
    }
  }

  private void read(Watch watch, ByteBuffer buffer) {
    try {
      buffer.clear();
      int count = watch.channel.read(buffer);
      if (count < 0) {
        drop(watch);
        return;
      }
      bytesReceived += count;
      if (watch.isRequested) {
        return;
      }
      watch.head.append(StandardCharsets.US_ASCII.decode(buffer.flip()));
      if (watch.head.indexOf("\r\n\r\n") >= 0) {
        watch.isRequested = true;
        watch.isMuted = mode != Mode.UP;
        answer(watch);
      }
    } catch (IOException e) {
      drop(watch);
    }
  }

  private void answer(Watch watch) {
    if (watch.isMuted) {
      return;
    }
    Matcher after = AFTER.matcher(watch.head);
    long known = after.find() ? Long.parseLong(after.group(1)) : -1;
    send(watch, HEAD);
    if (known < 0 || known < revision - history.size() || known > revision) {
      send(watch, chunk(snapshot()));
    } else if (known < revision) {
      long missing = revision - known;
      history.stream().skip(history.size() - missing).forEach(line -> send(watch, chunk(line)));
    }
  }

  /** Sends to each watch; a copy of the list is made, as a failed one is dropped from it. */
  private void sendToAll(byte[] chunk) {
    watches.stream().filter(Watch::isNotified).toList().forEach(watch -> send(watch, chunk));
  }

  private void send(Watch watch, byte[] bytes) {
    boolean isIdle = watch.pending.isEmpty();
    watch.pending.add(ByteBuffer.wrap(bytes));
    if (isIdle) {
      flush(watch);
    }
  }

  private void flush(Watch watch) {
    try {
      while (!watch.pending.isEmpty()) {
        ByteBuffer next = watch.pending.peek();
        bytesSent += watch.channel.write(next);
        if (next.hasRemaining()) {
          break;
        }
        watch.pending.remove();
      }
      int writeInterest = watch.pending.isEmpty() ? 0 : SelectionKey.OP_WRITE;
      watch.channel.keyFor(selector).interestOps(SelectionKey.OP_READ | writeInterest);
    } catch (IOException e) {
      drop(watch);
    }
  }

  private void drop(Watch watch) {
    watches.remove(watch);
    try {
      watch.channel.close();
    } catch (IOException e) {
      // it is gone either way
    }
  }

  @Override
  public void close() throws IOException {
    isClosed = true;
    selector.wakeup();
    try {
      thread.join(END_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    List.copyOf(watches).forEach(this::drop);
    stopListening();
    selector.close();
  }
}
