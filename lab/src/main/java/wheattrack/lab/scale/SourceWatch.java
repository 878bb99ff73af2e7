package wheattrack.lab.scale;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One connection of a client that watches a source: its request, and the bytes still to be written.
 * Used only by the server's thread.
 */
final class SourceWatch implements AutoCloseable {
  private static final Pattern KNOWN_REVISION = Pattern.compile("after=(\\d+)");

  private final SocketChannel channel;
  private final SelectionKey key;
  private final AtomicLong bytesSent;
  private final StringBuilder head = new StringBuilder();
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private boolean isRequested;
  private boolean isIgnored;

  /**
   * Registers a newly accepted channel with the selector.
   *
   * @param bytesSent counts the bytes written, of all watches
   */
  SourceWatch(SocketChannel channel, Selector selector, AtomicLong bytesSent) throws IOException {
    this.channel = channel;
    this.bytesSent = bytesSent;
    channel.configureBlocking(false);
    key = channel.register(selector, SelectionKey.OP_READ, this);
  }

  /**
   * Reads received bytes and appends them to the head of the request until that is complete.
   *
   * @param buffer is overwritten
   * @return the number of bytes read, negative at the end of the stream
   */
  int read(ByteBuffer buffer) throws IOException {
    buffer.clear();
    int count = channel.read(buffer);
    if (count > 0 && !isRequested) {
      head.append(StandardCharsets.US_ASCII.decode(buffer.flip()));
      isRequested = head.indexOf(HttpMessages.END_OF_HEAD) >= 0;
    }
    return count;
  }

  /** Whether the head of the request has been received completely. */
  boolean isRequested() {
    return isRequested;
  }

  /** Excludes this watch from changes and heartbeats. */
  void ignore() {
    isIgnored = true;
  }

  /** Whether changes and heartbeats are sent on this connection. */
  boolean isNotified() {
    return isRequested && !isIgnored;
  }

  /** The revision that the request names as known; -1 if it names none. */
  long knownRevision() {
    Matcher known = KNOWN_REVISION.matcher(head);
    return known.find() ? Long.parseLong(known.group(1)) : -1;
  }

  /** Queues bytes after the pending ones; writes as many as the connection accepts now. */
  void write(byte[] bytes) throws IOException {
    boolean isIdle = pending.isEmpty();
    pending.add(ByteBuffer.wrap(bytes));
    if (isIdle) {
      flush();
    }
  }

  /** Writes as many of the pending bytes as the connection accepts now. */
  void flush() throws IOException {
    while (!pending.isEmpty()) {
      ByteBuffer next = pending.peek();
      bytesSent.addAndGet(channel.write(next));
      if (next.hasRemaining()) {
        break;
      }
      pending.remove();
    }
    int writeInterest = pending.isEmpty() ? 0 : SelectionKey.OP_WRITE;
    key.interestOps(SelectionKey.OP_READ | writeInterest);
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      // the watch is removed whether or not closing fails
    }
  }
}
