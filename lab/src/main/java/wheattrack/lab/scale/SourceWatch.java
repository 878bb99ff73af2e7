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
 * One connection of a client that watches a source: its request, and what is still to be written.
 * Used by the server's thread only.
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
   * Registers a channel that has just been accepted with the selector.
   *
   * @param bytesSent counts what is written
   */
  SourceWatch(SocketChannel channel, Selector selector, AtomicLong bytesSent) throws IOException {
    this.channel = channel;
    this.bytesSent = bytesSent;
    channel.configureBlocking(false);
    key = channel.register(selector, SelectionKey.OP_READ, this);
  }

  /** Reads what has come, by way of a buffer; returns how many bytes, below 0 at the end. */
  int read(ByteBuffer buffer) throws IOException {
    buffer.clear();
    int count = channel.read(buffer);
    if (count > 0 && !isRequested) {
      head.append(StandardCharsets.US_ASCII.decode(buffer.flip()));
      isRequested = head.indexOf(HttpMessages.END_OF_HEAD) >= 0;
    }
    return count;
  }

  /** Whether its request has come. */
  boolean isRequested() {
    return isRequested;
  }

  /** Never answers its request, nor sends it any change. */
  void ignore() {
    isIgnored = true;
  }

  /** Whether changes are sent to it. */
  boolean isNotified() {
    return isRequested && !isIgnored;
  }

  /** The revision that its request names; -1 for none. */
  long knownRevision() {
    Matcher known = KNOWN_REVISION.matcher(head);
    return known.find() ? Long.parseLong(known.group(1)) : -1;
  }

  /** Writes bytes after those that are pending, as far as the connection takes them now. */
  void write(byte[] bytes) throws IOException {
    boolean isIdle = pending.isEmpty();
    pending.add(ByteBuffer.wrap(bytes));
    if (isIdle) {
      flush();
    }
  }

  /** Writes what is pending, as far as the connection takes it now. */
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
      // it is gone either way
    }
  }
}
