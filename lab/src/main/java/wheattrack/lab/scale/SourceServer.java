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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A discovery or settings server for thousands of watches on one thread, each answered by a chunked
 * response that does not end. It keeps a bounded history of changes; a client whose revision is
 * before that gets a complete snapshot. Its methods may be called by any thread.
 */
final class SourceServer implements AutoCloseable {
  /** What the server does with its clients. */
  enum Mode {
    /** Answers each watch and sends it all changes. */
    UP,
    /** Does not listen, so that connections are refused. */
    REFUSING,
    /** Accepts connections and never answers them, not even in a later mode. */
    SILENT
  }

  private static final int BACKLOG = 8192;
  private static final int READ_BUFFER_BYTES = 1 << 16;
  private static final long SELECT_TIMEOUT_MILLIS = 50;

  /** An empty line is sent to each watch at this interval, as a heartbeat. */
  private static final long HEARTBEAT_NANOS = 2_000_000_000;

  private static final long EXECUTE_TIMEOUT_SECONDS = 5;
  private static final long END_TIMEOUT_MILLIS = 2000;
  private static final byte[] HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final Selector selector;
  private final InetSocketAddress address;
  private final boolean sendsSnapshots;
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final List<SourceWatch> watches = new ArrayList<>();
  private final SourceHistory history;
  private final Thread thread;
  private final AtomicLong bytesSent = new AtomicLong();
  private final AtomicLong bytesReceived = new AtomicLong();
  private final AtomicLong acceptedConnections = new AtomicLong();
  private ServerSocketChannel listener;
  private Mode mode = Mode.REFUSING;
  private volatile boolean isClosed;

  /**
   * Starts to serve at a free port.
   *
   * @param sendsSnapshots whether each change is sent as a complete snapshot, a fault that a test
   *     must detect
   */
  SourceServer(VersionedSource source, boolean sendsSnapshots) throws IOException {
    history = new SourceHistory(source);
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
    return bytesSent.get();
  }

  long bytesReceived() {
    return bytesReceived.get();
  }

  /** Connections accepted so far. */
  long acceptedConnections() {
    return acceptedConnections.get();
  }

  /** Waits until all changes requested so far are made; returns the latest revision. */
  long revision() {
    long[] latest = new long[1];
    executeAndWait(() -> latest[0] = history.revision());
    return latest[0];
  }

  /** Changes the mode and waits until that is done; any mode but UP closes all open watches. */
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
            throw new IllegalStateException("no change to mode " + next + " at " + address, e);
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

  /**
   * Requests a change of entries as one new revision and does not wait until it is made.
   *
   * @param first index of the first changed entry
   * @param count how many entries change, wrapping around after the last
   */
  void change(int first, int count) {
    execute(
        () -> {
          String change = history.change(first, count);
          if (mode == Mode.UP) {
            sendToAll(HttpMessages.chunk(sendsSnapshots ? history.snapshot() : change));
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

  // The methods from here to drop() run only on the server's thread.

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
          sendToAll(HttpMessages.chunk("\n"));
        }
      } catch (IOException e) {
        throw new IllegalStateException("source at " + address + " has failed", e);
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
    SourceWatch watch = (SourceWatch) key.attachment();
    try {
      if (key.isReadable()) {
        read(watch, buffer);
      }
      if (key.isValid() && key.isWritable()) {
        watch.flush();
      }
    } catch (IOException e) {
      drop(watch);
    }
  }

  private void accept() throws IOException {
    if (listener == null) {
      return;
    }
    for (SocketChannel channel = listener.accept(); channel != null; channel = listener.accept()) {
      watches.add(new SourceWatch(channel, selector, bytesSent));
      acceptedConnections.incrementAndGet();
    }
  }

  private void read(SourceWatch watch, ByteBuffer buffer) throws IOException {
    boolean wasRequested = watch.isRequested();
    int count = watch.read(buffer);
    if (count < 0) {
      drop(watch);
      return;
    }
    bytesReceived.addAndGet(count);
    if (!wasRequested && watch.isRequested()) {
      answer(watch);
    }
  }

  private void answer(SourceWatch watch) throws IOException {
    if (mode != Mode.UP) {
      watch.ignore();
      return;
    }
    watch.write(HEAD);
    for (String line : history.since(watch.knownRevision())) {
      watch.write(HttpMessages.chunk(line));
    }
  }

  /** Sends to each notified watch. Iterates over a copy, as a failed watch is removed meanwhile. */
  private void sendToAll(byte[] chunk) {
    for (SourceWatch watch : watches.stream().filter(SourceWatch::isNotified).toList()) {
      try {
        watch.write(chunk);
      } catch (IOException e) {
        drop(watch);
      }
    }
  }

  private void drop(SourceWatch watch) {
    watches.remove(watch);
    watch.close();
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
